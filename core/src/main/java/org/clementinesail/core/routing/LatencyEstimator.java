package org.clementinesail.core.routing;

import org.clementinesail.core.targets.TargetRecord;

/**
 * Estimates how long a target would take for a piece of work; the lowest estimate is chosen.
 *
 * <p>The default counts this VM's own requests in flight, the load report discounted by its age,
 * the accelerator's rate and the measured round trip.
 */
@FunctionalInterface
public interface LatencyEstimator {

  /**
   * Returns the expected time in seconds.
   *
   * @param target the target
   * @param layers layers to run; 1 for a service call
   * @param now present time in nanoseconds
   */
  double expectedSeconds(TargetRecord target, int layers, long now);
}
