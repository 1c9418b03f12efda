package org.clementinesail.core.admission;

/** How long a request may wait for a target. */
public final class WaitLimit {
  /** Covers the time in which a target ends a short request or an engine reports room. */
  private static final long LEAST_NANOS = 250_000_000L;

  /** Callers abandon a stream without an event after 2 s; the target needs time for the first. */
  private static final long MOST_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Part of a route's timeout that may pass before a target works on the request. */
  private static final int TIMEOUT_DIVISOR = 4;

  private WaitLimit() {}

  /**
   * Returns when a request that waits for a target is refused, in nanoseconds.
   *
   * @param targetLatencyMillis time within which an answer has its full value; 0 if not given
   * @param timeoutMillis longest time that a request of the route may wait for its answer
   * @param startedAt when the request began, in nanoseconds of a monotonic clock
   * @param deadline deadline of the request on the same clock
   */
  public static long waitUntil(
      long targetLatencyMillis, long timeoutMillis, long startedAt, long deadline) {
    long millis = Math.min(targetLatencyMillis, timeoutMillis / TIMEOUT_DIVISOR);
    long nanos = Math.min(millis, MOST_NANOS / NANOS_PER_MILLI) * NANOS_PER_MILLI;
    long until = startedAt + Math.max(nanos, LEAST_NANOS);
    return deadline - until < 0 ? deadline : until;
  }
}
