package org.clementinesail.core.limits;

/**
 * Limits retries to a fraction of first attempts, so that failing targets are not overloaded with
 * retries.
 *
 * <p>Each first attempt adds a fraction of a retry to the budget. The class is not thread-safe.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.2;
  private static final double MAX_RETRIES = 20;

  private final double retriesPerRequest;
  private final double maxRetries;
  private double availableRetries;

  /**
   * Creates a budget for the calls of one workspace: 10 retries at first, 0.2 more for each first
   * attempt, and at most 20.
   */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST, MAX_RETRIES);
    availableRetries = MAX_RETRIES / 2;
  }

  /**
   * Creates a full budget.
   *
   * @param retriesPerRequest retries that each first attempt adds
   * @param maxRetries maximum number of available retries, and the initial number
   */
  public RetryBudget(double retriesPerRequest, double maxRetries) {
    this.retriesPerRequest = retriesPerRequest;
    this.maxRetries = maxRetries;
    this.availableRetries = maxRetries;
  }

  /** Records a first attempt, which adds to the available retries up to the maximum. */
  public void recordFirstAttempt() {
    availableRetries = Math.min(maxRetries, availableRetries + retriesPerRequest);
  }

  /** Returns whether a retry is available. */
  public boolean hasRetry() {
    return availableRetries >= 1;
  }

  /** Gives back a retry that reached no target. */
  public void returnRetry() {
    availableRetries = Math.min(maxRetries, availableRetries + 1);
  }

  /** Takes a retry from the budget; returns false if fewer than one is available. */
  public boolean tryAcquireRetry() {
    if (!hasRetry()) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
