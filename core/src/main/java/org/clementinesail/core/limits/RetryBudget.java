package org.clementinesail.core.limits;

/**
 * Bounds retries to a share of first attempts, so that failing targets do not meet a storm.
 *
 * <p>Each first attempt earns a fraction of a retry. The class is not thread-safe.
 */
public final class RetryBudget {
  private static final double EARNED_PER_REQUEST = 0.2;
  private static final double MAX_SAVED = 20;

  private final double earnedPerRequest;
  private final double maxSaved;
  private double saved;

  /** Creates a budget of one workspace's calls. */
  public RetryBudget() {
    this(EARNED_PER_REQUEST, MAX_SAVED);
    saved = MAX_SAVED / 2;
  }

  /**
   * Creates a full budget.
   *
   * @param earnedPerRequest retries earned by each first attempt
   * @param maxSaved most retries saved
   */
  public RetryBudget(double earnedPerRequest, double maxSaved) {
    this.earnedPerRequest = earnedPerRequest;
    this.maxSaved = maxSaved;
    this.saved = maxSaved;
  }

  /** Notes a first attempt. */
  public void requested() {
    saved = Math.min(maxSaved, saved + earnedPerRequest);
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
