package org.clementinesail.core.fleet;

import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * An engine's report of its state, or that it gave none.
 *
 * @param id identity of the target
 * @param reachable whether it answered
 * @param running requests that it runs
 * @param waiting requests that wait there
 * @param kvUsed memory of requests that cannot yield, in tokens times layers
 * @param kvTotal memory for requests, in tokens times layers
 * @param slowdown how many times slower than usual it works
 * @param busy whether an order is in progress
 * @param orderSequence orders that it has accepted since its start
 * @param layers layers that it holds, or null if none
 * @param reportedAt when the report was read, in nanoseconds of this VM's monotonic clock
 */
public record EngineReport(
    String id,
    boolean reachable,
    int running,
    int waiting,
    long kvUsed,
    long kvTotal,
    double slowdown,
    boolean busy,
    long orderSequence,
    @Nullable LayerRange layers,
    long reportedAt) {

  /**
   * Returns the report of an engine that did not answer.
   *
   * @param id identity of the target
   * @param now present time in nanoseconds
   */
  public static EngineReport unreachable(String id, long now) {
    return new EngineReport(id, false, 0, 0, 0, 0, 1, false, 0, null, now);
  }
}
