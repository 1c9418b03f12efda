package org.clementinesail.core.limits;

/** A rate limit that allows a burst of one second's worth. The class is not thread-safe. */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double perSecond;
  private double available;
  private long refilledAt;

  /**
   * Creates a full bucket.
   *
   * @param perSecond permits a second, positive
   * @param now present time in nanoseconds
   */
  public TokenBucket(double perSecond, long now) {
    this.perSecond = perSecond;
    this.available = burst();
    this.refilledAt = now;
  }

  /**
   * Changes the rate.
   *
   * @param rate permits a second, positive
   */
  public void perSecond(double rate) {
    perSecond = rate;
    available = Math.min(available, burst());
  }

  /**
   * Takes a permit if there is one.
   *
   * @param now present time in nanoseconds
   */
  public boolean tryTake(long now) {
    refill(now);
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }

  /**
   * Returns the time until a permit is there, in nanoseconds; 0 if there is one.
   *
   * @param now present time in nanoseconds
   */
  public long nanosUntilPermit(long now) {
    refill(now);
    return available >= 1 ? 0 : (long) ((1 - available) / perSecond * NANOS_PER_SECOND);
  }

  private void refill(long now) {
    available = Math.min(burst(), available + (now - refilledAt) / NANOS_PER_SECOND * perSecond);
    refilledAt = now;
  }

  private double burst() {
    return Math.max(1, perSecond);
  }
}
