package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaders;

/** Times after which callers are asked to send a refused request again. */
final class RetryAfter {
  /** About the time for streams to end and engines to return; callers get 1 to 2 times this. */
  static final double SECONDS = 1.5;

  /** The same while a VM knows no desired state yet, because it has just started. */
  static final double STARTUP_SECONDS = 2.5;

  /** The same while a VM stops: other VMs take the request at once. */
  static final double STOP_SECONDS = 0.05;

  private RetryAfter() {}

  /** Returns headers that ask for a random time from 1 to 2 times the given one. */
  static HttpHeaders headers(ProxyContext context, double seconds) {
    HttpHeaders headers = HeaderCopies.empty();
    context.dialect().setRetryAfter(headers, context.routing().spread(seconds));
    return headers;
  }
}
