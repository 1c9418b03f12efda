package org.clementinesail.core.routing;

import org.clementinesail.core.targets.TargetRecord;

/**
 * Estimates how long a target would take to run a step or call; planners choose the lowest
 * estimate.
 *
 * <p>{@link ObservedLoad} derives the estimate from this VM's requests in flight, the target's load
 * report weighted by its age, the accelerator's rate and the observed overhead.
 */
@FunctionalInterface
public interface LatencyEstimator {

  /**
   * Returns the expected time in seconds, queueing included.
   *
   * @param target target with its newest load report
   * @param layers number of layers to run; 1 for a service call
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  double expectedSeconds(TargetRecord target, int layers, long now);
}
