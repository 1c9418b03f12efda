package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Map;

/** Estimates the memory of a decoded head. */
public final class HeadSize {
  /** Objects of a request and of its context, without texts. */
  private static final int REQUEST_BYTES = 512;

  /** Two strings and an entry of the header map; 56 bytes for each string and 40 for the entry. */
  private static final int HEADER_BYTES = 152;

  private HeadSize() {}

  /**
   * Returns the estimated size of a head in bytes.
   *
   * @param head the head
   */
  public static int of(HttpRequest head) {
    int bytes = REQUEST_BYTES + head.uri().length();
    for (Map.Entry<String, String> header : head.headers()) {
      bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
