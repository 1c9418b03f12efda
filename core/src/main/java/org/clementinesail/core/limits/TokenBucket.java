package org.clementinesail.core.limits;

/** A rate limit that allows a burst of one second's worth. The class is not thread-safe. */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double permitsPerSecond;
  private double availablePermits;
  private long refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param perSecond permits a second, positive
   * @param now present time in nanoseconds
   */
  public TokenBucket(double perSecond, long now) {
    this.permitsPerSecond = perSecond;
    this.availablePermits = capacity();
    this.refilledAt = now;
  }

  /**
   * Changes the rate.
   *
   * @param rate permits a second, positive
   */
  public void permitsPerSecond(double rate) {
    permitsPerSecond = rate;
    availablePermits = Math.min(availablePermits, capacity());
  }

  /**
   * Takes a permit if there is one.
   *
   * @param now present time in nanoseconds
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
   * Returns the time until a permit is there, in nanoseconds; 0 if there is one.
   *
   * @param now present time in nanoseconds
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
