package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalDouble;

/** Times after which callers are asked to send a refused request again. */
final class RetryAfter {
  /** About the time for streams to end and engines to return; callers get 1 to 2 times this. */
  static final double SECONDS = 1.5;

  /** The same while a VM knows no desired state yet, because it has just started. */
  static final double STARTUP_SECONDS = 2.5;

  /** The same while a VM stops or can reach no target: other VMs take the request at once. */
  static final double STOP_SECONDS = 0.05;

  private RetryAfter() {}

  /**
   * Returns the shortest time after which targets take requests again, in seconds: another VM would
   * take a shorter one for that of a VM that stops.
   */
  static double least(ProxyContext context) {
    return context.relayed() ? 3 * STOP_SECONDS : 0;
  }

  /**
   * Returns the delay in seconds that another VM asks for, or empty if a third VM may serve the
   * request at once.
   */
  static OptionalDouble later(ProxyContext context, HttpResponse response) {
    OptionalDouble seconds = context.dialect().deferralSeconds(response);
    return seconds.isPresent() && seconds.getAsDouble() > 2 * STOP_SECONDS
        ? seconds
        : OptionalDouble.empty();
  }

  /**
   * Returns whether another VM asks that a third one serves all requests: it stops or is cut off.
   */
  static boolean elsewhere(ProxyContext context, HttpResponse response) {
    OptionalDouble seconds = context.dialect().deferralSeconds(response);
    return seconds.isPresent() && seconds.getAsDouble() <= 2 * STOP_SECONDS;
  }

  /** Returns headers that ask for a random time from 1 to 2 times the given one. */
  static HttpHeaders headers(ProxyContext context, double seconds) {
    HttpHeaders headers = HeaderCopies.empty();
    context.dialect().setRetryAfter(headers, context.routing().spread(seconds));
    return headers;
  }
}
