package org.clementinesail.core.limits;

/**
 * Decides how long a request waits on a VM that has just started and knows no desired state yet.
 *
 * <p>Answers the load after a loss of all VMs: entry VMs are back before the control VMs have
 * elected a leader, and callers whose answers were cut off come back at once with their last retry.
 * A short wait serves them; a refusal would be the end of their request.
 *
 * <pre>{@code
 * StartupWait wait = new StartupWait(startedAt);
 * boolean waits = wait.allows(now, receivedAt, patienceMillis);
 * }</pre>
 */
public final class StartupWait {
  /**
   * Time after a start from which on a wait is worth it: a desired state comes 2.3 to 2.7 s after
   * the entry VMs where all VMs have started, so callers that come before would wait in vain.
   */
  private static final long MIN_ARRIVAL_NANOS = 900_000_000L;

  /**
   * Time after a start in which a desired state usually arrives: control VMs on a fraction of a
   * core take 2 s to start and half a second to elect.
   */
  private static final long STARTUP_WINDOW_NANOS = 6_000_000_000L;

  /** Callers give a stream up whose first event does not come within 2 s. */
  private static final long MAX_WAIT_NANOS = 1_500_000_000L;

  /** Part of a caller's patience that may be waited, so that a retry has time left. */
  private static final int TIMEOUT_DIVISOR = 3;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long startedAt;

  /**
   * Creates the decision of one VM.
   *
   * @param startedAt when its process started, in nanoseconds of its monotonic clock
   */
  public StartupWait(long startedAt) {
    this.startedAt = startedAt;
  }

  /**
   * Returns whether a request may wait on.
   *
   * @param now present time in nanoseconds
   * @param receivedAt when it arrived
   * @param callerTimeoutMillis how long its caller will wait for the answer, or negative if not
   *     known
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
