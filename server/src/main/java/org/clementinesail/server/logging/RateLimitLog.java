package org.clementinesail.server.logging;

import java.util.concurrent.TimeUnit;
import org.clementinesail.core.ratelimits.RateLimit;

/** Logs changes of the limits that targets name. */
public final class RateLimitLog {
  private RateLimitLog() {}

  /**
   * Logs that a target has named a limit, or that its limit has ended.
   *
   * @param log receives the line
   * @param limit the new record
   * @param source where the record comes from
   * @param now current time in nanoseconds of the monotonic clock
   */
  public static void write(DecisionLog log, RateLimit limit, String source, long now) {
    log.write(
        limit.limited() ? "target limits its rate" : "target's limit ended",
        "target",
        limit.target(),
        "per_second",
        limit.perSecond(),
        "source",
        source,
        "age_ms",
        TimeUnit.NANOSECONDS.toMillis(now - limit.knownAt()));
  }
}
