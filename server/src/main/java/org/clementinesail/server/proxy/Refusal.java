package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Answer to bytes of a caller that are no request that can be processed; ends the connection.
 *
 * @param status status of the response
 * @param reason description for the log
 */
record Refusal(HttpResponseStatus status, String reason) {

  /** Returns the refusal of bytes that the HTTP decoder could not read. */
  static Refusal ofUnreadable(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    HttpResponseStatus status =
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    return new Refusal(status, String.valueOf(cause.getMessage()));
  }

  /** Returns the refusal of a head or body for which this VM has no memory left. */
  static Refusal ofRequestWithoutMemory() {
    return new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the request is left");
  }

  /** Returns the refusal of a request behind too many others on its connection. */
  static Refusal ofTooManyRequests() {
    return new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many requests wait");
  }

  /** Returns the headers of the response. */
  HttpHeaders headers(ProxyContext context) {
    return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        ? RetryAfter.headers(context, RetryAfter.SECONDS)
        : HeaderCopies.empty();
  }

  /** Returns the refusal of a body of which nothing more comes. */
  static Refusal ofStalledBody() {
    return new Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "the rest of the body does not come");
  }

  /** Returns the refusal of a body above the limit. */
  static Refusal ofTooLargeBody() {
    return new Refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
  }
}
