package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.Set;

/**
 * The lines of a response's head that are found among other bytes.
 *
 * @param head the headers in these lines; the status is not read
 * @param end index after the last whole line
 * @param complete whether the empty line that ends a head is among them
 */
record HeadScan(HttpResponse head, int end, boolean complete) {
  /** Beginning of a status line. */
  static final String VERSION = "HTTP/1.";

  private static final String LINE_END = "\r\n";

  /**
   * Reads the lines from a place on; empty if one of them cannot be part of a head.
   *
   * @param bytes the bytes, decoded as ISO 8859-1
   * @param start index at which the status line would begin
   * @param singularHeaders names in lower case of further headers that a response has once
   */
  static Optional<HeadScan> of(String bytes, int start, Set<String> singularHeaders) {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, HeaderCopies.empty());
    HeadValidator validator = new HeadValidator(singularHeaders);
    int from = start;
    boolean complete = false;
    try {
      for (int to = bytes.indexOf(LINE_END, from);
          to >= 0 && !complete;
          to = bytes.indexOf(LINE_END, from)) {
        String line = bytes.substring(from, to);
        complete = validator.acceptLine(line);
        int colon = line.indexOf(':');
        if (from > start && colon > 0) {
          head.headers().add(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        from = to + LINE_END.length();
      }
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
    return Optional.of(new HeadScan(head, from, complete));
  }
}
