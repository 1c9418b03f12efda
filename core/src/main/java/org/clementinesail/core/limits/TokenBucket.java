package org.clementinesail.core.limits;

/**
 * A token bucket that holds at most one second's permits, and at least one permit. The class is not
 * thread-safe.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double permitsPerSecond;
  private double availablePermits;
  private long refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param perSecond permits per second, positive
   * @param now current time in nanoseconds of the monotonic clock
   */
  public TokenBucket(double perSecond, long now) {
    this.permitsPerSecond = perSecond;
    this.availablePermits = capacity();
    this.refilledAt = now;
  }

  /**
   * Changes the rate; available permits above the new capacity are lost.
   *
   * @param rate permits per second, positive
   */
  public void permitsPerSecond(double rate) {
    permitsPerSecond = rate;
    availablePermits = Math.min(availablePermits, capacity());
  }

  /**
   * Takes a permit; returns false if none is available.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public boolean tryAcquire(long now) {
    refill(now);
    if (availablePermits < 1) {
      return false;
    }
    availablePermits -= 1;
    return true;
  }

  /**
   * Returns the nanoseconds until a permit is available; 0 if one is available now.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public long nanosUntilPermit(long now) {
    refill(now);
    return availablePermits >= 1
        ? 0
        : (long) ((1 - availablePermits) / permitsPerSecond * NANOS_PER_SECOND);
  }

  private void refill(long now) {
    availablePermits =
        Math.min(
            capacity(),
            availablePermits + (now - refilledAt) / NANOS_PER_SECOND * permitsPerSecond);
    refilledAt = now;
  }

  private double capacity() {
    return Math.max(1, permitsPerSecond);
  }
}
