package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.jspecify.annotations.Nullable;

/**
 * Answer to bytes of a caller that are no request that can be processed; ends the connection.
 *
 * @param status status of the response
 * @param reason description for the log
 * @param head head of the refused request, or null if it has not been read
 */
record Refusal(HttpResponseStatus status, String reason, @Nullable HttpRequest head) {
  Refusal(HttpResponseStatus status, String reason) {
    this(status, reason, null);
  }

  /** Returns this refusal for a request whose head has been read. */
  Refusal of(@Nullable HttpRequest request) {
    return new Refusal(status, reason, request);
  }

  /** Returns the refusal of a request that an error in this VM keeps from being processed. */
  static Refusal ofInternalError() {
    return new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "internal error");
  }

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
    HttpHeaders headers =
        status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
            ? RetryAfter.headers(context, RetryAfter.SECONDS)
            : HeaderCopies.empty();
    if (context.relayed()) {
      setNotRun(context, headers);
    }
    return headers;
  }

  /** Tells another VM that the request has not run and that this is not a target's answer. */
  private void setNotRun(ProxyContext context, HttpHeaders headers) {
    RelayHeaders.setOutcome(headers, true);
    if (head != null) {
      try {
        context.dialect().setRequestId(headers, context.dialect().readMetadata(head).id());
      } catch (RuntimeException e) {
        context.log().write("request id not read", "error", e);
      }
    }
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
