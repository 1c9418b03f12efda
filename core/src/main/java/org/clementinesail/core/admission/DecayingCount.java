package org.clementinesail.core.admission;

/** A count in which each event loses weight exponentially with its age. */
final class DecayingCount {
  private final double nanos;
  private double value;
  private long updatedAt;

  /**
   * Creates a count of 0.
   *
   * @param nanos time after which an event has a weight of 1/e, in nanoseconds
   */
  DecayingCount(double nanos) {
    this.nanos = nanos;
  }

  /** Adds to the count, which never becomes negative. */
  void add(double amount, long now) {
    value = Math.max(0, value(now) + amount);
    updatedAt = now;
  }

  /** Returns the count at a time, in nanoseconds of the same clock. */
  double value(long now) {
    return value == 0 ? 0 : value * Math.exp(-Math.max(0, now - updatedAt) / nanos);
  }
}
