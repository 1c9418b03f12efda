package org.clementinesail.core.limits;

/**
 * Detects that a VM gets too little processor time, from timers that fire late.
 *
 * <p>Late time is counted over about the last two seconds, so that one short pause is no lag and a
 * VM that recovers counts as recovered soon. The class is not thread-safe.
 *
 * <pre>{@code
 * LagDetector lag = new LagDetector(200_000_000, 1_000_000_000);
 * lag.tick(now); // each 100 ms
 * if (lag.isLagging()) { ... }
 * }</pre>
 */
public final class LagDetector {
  /** Time constant with which late time is forgotten. */
  private static final double MEMORY_NANOS = 2e9;

  private final long toleratedGapNanos;
  private final long limitNanos;
  private double lateNanos;
  private long lastTickAt;
  private boolean ticked;

  /**
   * Creates a detector that has seen no lag.
   *
   * @param toleratedGapNanos time between two ticks that is not late, in nanoseconds
   * @param limitNanos late time within about two seconds above which the VM lags, in nanoseconds
   */
  public LagDetector(long toleratedGapNanos, long limitNanos) {
    this.toleratedGapNanos = toleratedGapNanos;
    this.limitNanos = limitNanos;
  }

  /**
   * Records that the regular timer has fired.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void tick(long now) {
    if (ticked) {
      long gap = now - lastTickAt;
      lateNanos = lateNanos * Math.exp(-gap / MEMORY_NANOS) + Math.max(0, gap - toleratedGapNanos);
    }
    ticked = true;
    lastTickAt = now;
  }

  /** Returns whether timers fired late for more than the limit. */
  public boolean isLagging() {
    return lateNanos > limitNanos;
  }

  /** Forgets the lag seen so far. */
  public void reset() {
    lateNanos = 0;
  }
}
