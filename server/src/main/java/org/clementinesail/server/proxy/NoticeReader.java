package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalDouble;
import org.clementinesail.core.fleet.TargetStatement;

/** Records what answers of targets state about further requests. */
final class NoticeReader {
  /** No target means a longer time; a shorter one that is wrong is over soon enough. */
  private static final double MAX_DEFERRAL_SECONDS = 3_600;

  private static final double NANOS_PER_SECOND = 1e9;

  private NoticeReader() {}

  /**
   * Reads the head of a target's answer, whatever its status.
   *
   * @param sentAt when the request was sent, in nanoseconds of the monotonic clock
   */
  static void read(
      ProxyContext context, TargetStatement target, long sentAt, HttpResponse response) {
    if (context.dialect().isLeaving(response) && context.routing().fleet().recordLeaving(target)) {
      context.targetPool().closeIdle(target.address());
      context.log().write("target leaves", "target", target.id(), "address", target.address());
    }
    OptionalDouble seconds = context.dialect().deferralSeconds(response);
    if (seconds.isPresent() && seconds.getAsDouble() <= MAX_DEFERRAL_SECONDS) {
      long nanos = (long) (seconds.getAsDouble() * NANOS_PER_SECOND);
      context.routing().fleet().recordDeferral(target, System.nanoTime() + nanos);
      context.log().write("target defers", "target", target.id(), "seconds", seconds.getAsDouble());
    }
    context.rateLimits().recordAnswer(target, context.dialect().rateStatement(response), sentAt);
  }
}
