package org.clementinesail.core.ratelimits;

/**
 * Whether one start of a target limits the rate of requests that it takes, as of a point in time.
 *
 * @param target identity of the target
 * @param startedAtMillis start of the target that the record applies to, in milliseconds of the
 *     target's wall clock
 * @param limited whether there is a limit
 * @param perSecond requests per second from all VMs together; 0 if there is no limit
 * @param knownAt for a limit, when the answer that named it arrived; for none, when the request was
 *     sent whose answer named none; in nanoseconds of the monotonic clock
 */
public record RateLimit(
    String target, long startedAtMillis, boolean limited, double perSecond, long knownAt) {

  /**
   * A target whose limit is lower still gets a request in 20 seconds, because only its answers tell
   * that the limit has ended.
   */
  private static final double MIN_PER_SECOND = 0.05;

  /** Returns the rate at which requests are sent, in requests per second; positive. */
  double permitsPerSecond() {
    return Math.max(MIN_PER_SECOND, perSecond);
  }

  /** Returns whether this record replaces another of the same target. */
  boolean supersedes(RateLimit other) {
    return startedAtMillis == other.startedAtMillis
        ? knownAt - other.knownAt > 0
        : startedAtMillis > other.startedAtMillis;
  }

  /** Returns whether both say the same, whatever the time. */
  boolean sameLimit(RateLimit other) {
    return startedAtMillis == other.startedAtMillis
        && limited == other.limited
        && Double.compare(perSecond, other.perSecond) == 0;
  }
}
