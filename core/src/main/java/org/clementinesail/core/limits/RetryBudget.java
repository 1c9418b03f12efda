package org.clementinesail.core.limits;

/**
 * Bounds retries to a share of first attempts, so that failing targets do not meet a storm.
 *
 * <p>Each first attempt earns a fraction of a retry. The class is not thread-safe.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.2;
  private static final double MAX_RETRIES = 20;

  private final double retriesPerRequest;
  private final double maxRetries;
  private double availableRetries;

  /** Creates a budget of one workspace's calls. */
  public RetryBudget() {
    this(RETRIES_PER_REQUEST, MAX_RETRIES);
    availableRetries = MAX_RETRIES / 2;
  }

  /**
   * Creates a full budget.
   *
   * @param retriesPerRequest retries earned by each first attempt
   * @param maxRetries most retries saved
   */
  public RetryBudget(double retriesPerRequest, double maxRetries) {
    this.retriesPerRequest = retriesPerRequest;
    this.maxRetries = maxRetries;
    this.availableRetries = maxRetries;
  }

  /** Notes a first attempt. */
  public void recordFirstAttempt() {
    availableRetries = Math.min(maxRetries, availableRetries + retriesPerRequest);
  }

  /** Takes a retry if one is saved. */
  public boolean tryAcquireRetry() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
