package org.clementinesail.core.fleet;

import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * An engine's report of its state, or the fact that it gave no report.
 *
 * @param id identity of the target
 * @param reachable whether it answered; if not, only {@code id} and {@code reportedAt} are
 *     meaningful
 * @param running number of requests that it runs
 * @param waiting number of requests in its queue
 * @param kvUsed memory used by requests that cannot be preempted, in tokens times layers
 * @param kvTotal memory for requests, in tokens times layers
 * @param slowdown factor by which it works slower than usual; 1 is the usual speed
 * @param busy whether an order is in progress
 * @param orderSequence number of orders that it has accepted since its start
 * @param layers layers that it holds, or null if none
 * @param reportedAt when the report was received, in nanoseconds of this VM's monotonic clock
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
   * Returns a report for an engine that did not answer.
   *
   * @param id identity of the target
   * @param now current time in nanoseconds of the monotonic clock
   */
  public static EngineReport unreachable(String id, long now) {
    return new EngineReport(id, false, 0, 0, 0, 0, 1, false, 0, null, now);
  }
}
