package org.clementinesail.core.limits;

/**
 * Decides how long a request waits on a VM that has just started and has no desired state yet.
 *
 * <p>After all VMs have failed, entry VMs restart before the control VMs have elected a leader, and
 * callers whose answers were cut off immediately send their last retry. After a short wait these
 * requests can be served; if they were refused, they would fail for good.
 *
 * <pre>{@code
 * StartupWait wait = new StartupWait(startedAt);
 * boolean waits = wait.mayWait(now, receivedAt, callerTimeoutMillis);
 * }</pre>
 */
public final class StartupWait {
  /**
   * Requests that arrive sooner after the start do not wait: when all VMs restart, the desired
   * state arrives 2.3 to 2.7 s after the entry VMs start, so an earlier request would reach the
   * longest wait of 1.5 s without success.
   */
  private static final long MIN_ARRIVAL_NANOS = 900_000_000L;

  /**
   * Requests wait only within this time after the start. The desired state usually arrives within
   * it: control VMs with a fraction of a core take 2 s to start and 0.5 s to elect a leader.
   */
  private static final long STARTUP_WINDOW_NANOS = 6_000_000_000L;

  /** Longest wait; callers abandon a stream whose first event takes more than 2 s. */
  private static final long MAX_WAIT_NANOS = 1_500_000_000L;

  /** A request waits for at most a third of its caller's timeout, so that a retry has time left. */
  private static final int TIMEOUT_DIVISOR = 3;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long startedAt;

  /**
   * Creates the rule for one VM.
   *
   * @param startedAt start of its process, in nanoseconds of the monotonic clock
   */
  public StartupWait(long startedAt) {
    this.startedAt = startedAt;
  }

  /**
   * Returns whether a request may keep waiting for the desired state.
   *
   * @param now current time in nanoseconds of the monotonic clock
   * @param receivedAt arrival of the request, on the same clock
   * @param callerTimeoutMillis how long the caller waits for the answer, in milliseconds; negative
   *     if unknown
   */
  public boolean mayWait(long now, long receivedAt, long callerTimeoutMillis) {
    long timeoutShare = callerTimeoutMillis * NANOS_PER_MILLI / TIMEOUT_DIVISOR;
    long maxWait =
        callerTimeoutMillis < 0 ? MAX_WAIT_NANOS : Math.min(timeoutShare, MAX_WAIT_NANOS);
    return receivedAt - startedAt >= MIN_ARRIVAL_NANOS
        && now - startedAt < STARTUP_WINDOW_NANOS
        && now - receivedAt < maxWait;
  }
}
