package org.clementinesail.core.limits;

/**
 * Bounds retries to a share of first attempts, so that failing targets do not meet a storm.
 *
 * <p>Each first attempt earns a fraction of a retry. The class is not thread-safe.
 */
public final class RetryBudget {
  private static final double EARNED_PER_REQUEST = 0.2;
  private static final double MAX_SAVED = 20;

  private double saved = MAX_SAVED / 2;

  /** Notes a first attempt. */
  public void requested() {
    saved = Math.min(MAX_SAVED, saved + EARNED_PER_REQUEST);
  }

  /** Takes a retry if one is saved. */
  public boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
