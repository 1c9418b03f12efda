package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Copies headers without the hop-by-hop ones. */
final class HeaderCopies {
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private HeaderCopies() {}

  /** Returns empty headers without validation, since names and values are passed on unchanged. */
  static HttpHeaders empty() {
    return DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
  }

  /** Returns a request's headers for a target, with the length of its body. */
  static HttpHeaders ofRequest(HttpHeaders headers, int bodyBytes) {
    HttpHeaders copy = withoutHopByHop(headers);
    boolean hadBody =
        headers.contains(HttpHeaderNames.CONTENT_LENGTH)
            || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (hadBody || bodyBytes > 0) {
      copy.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    }
    return copy;
  }

  /** Returns a response's headers for the caller. */
  static HttpHeaders ofResponse(HttpHeaders headers) {
    return withoutHopByHop(headers);
  }

  private static HttpHeaders withoutHopByHop(HttpHeaders headers) {
    Set<String> dropped = new HashSet<>(HOP_BY_HOP_HEADERS);
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        dropped.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    HttpHeaders copy = empty();
    headers.forEach(
        entry -> {
          if (!dropped.contains(entry.getKey().toLowerCase(Locale.ROOT))) {
            copy.add(entry.getKey(), entry.getValue());
          }
        });
    return copy;
  }
}
