package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Finds a response that begins within the body of another one and goes on after its end: the body
 * was truncated, and the next response fills it. A body may contain whole responses as its text.
 */
final class OverlapCheck {
  /** Most places, from the end of the body, at which a response is looked for. */
  private static final int MAX_CANDIDATES = 16;

  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

  private final String bytes;
  private final int bodyEnd;
  private final Set<String> singularHeaders;
  private final Predicate<HttpResponse> sentHere;

  /**
   * Creates a check of the bytes of one read.
   *
   * @param bytes the bytes, decoded as ISO 8859-1
   * @param bodyEnd index after the last byte of the body; more bytes follow
   * @param singularHeaders names in lower case of further headers that a response has once
   * @param sentHere returns whether a response has the id of a request of the same connection
   */
  OverlapCheck(
      String bytes, int bodyEnd, Set<String> singularHeaders, Predicate<HttpResponse> sentHere) {
    this.bytes = bytes;
    this.bodyEnd = bodyEnd;
    this.singularHeaders = singularHeaders;
    this.sentHere = sentHere;
  }

  /**
   * Returns whether a response begins in the body and goes on after it.
   *
   * @param bodyStart index of the first byte of the body
   */
  boolean findsOverlap(int bodyStart) {
    if (STATUS.matcher(bytes).region(bodyEnd, bytes.length()).lookingAt()) {
      // The additional bytes are a response from its beginning.
      return false;
    }
    int at = bytes.lastIndexOf(HeadScan.VERSION, bodyEnd - 1);
    for (int i = 0; i < MAX_CANDIDATES && at >= bodyStart; i++) {
      if (overlaps(at)) {
        return true;
      }
      at = bytes.lastIndexOf(HeadScan.VERSION, at - 1);
    }
    return false;
  }

  private boolean overlaps(int start) {
    Optional<HeadScan> found = HeadScan.of(bytes, start, singularHeaders);
    if (found.isEmpty()) {
      return false;
    }
    HeadScan scan = found.get();
    return scan.end() > bodyEnd
        || (scan.complete() && bodyOverlaps(scan.head(), scan.end()))
        || (scan.end() == start && statusOverlaps(start));
  }

  private boolean statusOverlaps(int start) {
    var status = STATUS.matcher(bytes).region(start, bytes.length());
    return status.lookingAt() && status.end() > bodyEnd;
  }

  /** Returns whether the body of a response whose head ends before the own body does not. */
  private boolean bodyOverlaps(HttpResponse head, int from) {
    if (!sentHere.test(head)) {
      return false;
    }
    if (HttpUtil.isTransferEncodingChunked(head)) {
      int lastChunk = bytes.indexOf(LAST_CHUNK, from);
      return lastChunk < 0 || lastChunk + LAST_CHUNK.length() > bodyEnd;
    }
    String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH, "");
    return length.matches("[0-9]{1,9}") && from + Integer.parseInt(length) > bodyEnd;
  }
}
