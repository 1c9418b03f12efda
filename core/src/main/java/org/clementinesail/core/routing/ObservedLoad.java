package org.clementinesail.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;

/**
 * Estimates latency from what this VM observes: its requests at each target and the time they lose
 * in the network and in queues.
 *
 * <p>The estimate assumes that every other VM has as many requests at a target as this one, since
 * the load balancer distributes requests evenly. The work in a target's load report is added with a
 * weight that decreases with the report's age. The class is not thread-safe.
 */
public final class ObservedLoad implements LatencyEstimator {
  private static final double REPORT_HALF_LIFE_SECONDS = 2.0;
  private static final double OVERHEAD_EWMA_WEIGHT = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Assumed rate of a service, since services announce none. */
  private static final double SERVICE_CALLS_PER_SECOND = 100;

  private static final class TargetStats {
    int assigned;
    double meanOverheadSeconds;
  }

  private final Map<String, TargetStats> stats = new HashMap<>();
  private final IntSupplier vmCount;

  /**
   * Creates an estimator without observations.
   *
   * @param vmCount returns the number of VMs that share the targets, this one included
   */
  public ObservedLoad(IntSupplier vmCount) {
    this.vmCount = vmCount;
  }

  /**
   * Records that a request uses a target in its chain, or that a call is sent to it.
   *
   * @param target name of the target
   */
  public void recordAssignment(String target) {
    stats(target).assigned++;
  }

  /**
   * Records that a request or call no longer uses a target.
   *
   * @param target name of the target
   */
  public void recordRelease(String target) {
    stats(target).assigned--;
  }

  /**
   * Records the time that a step or call lost in the network and in queues.
   *
   * @param target name of the target
   * @param seconds lost time in seconds, without the work itself; negative values count as 0
   */
  public void recordOverhead(String target, double seconds) {
    TargetStats targetStats = stats(target);
    targetStats.meanOverheadSeconds +=
        OVERHEAD_EWMA_WEIGHT * (Math.max(0, seconds) - targetStats.meanOverheadSeconds);
  }

  /**
   * Removes the observations of a target, unless requests still use it.
   *
   * @param target name of the target
   */
  public void removeIfIdle(String target) {
    TargetStats targetStats = stats.get(target);
    if (targetStats != null && targetStats.assigned == 0) {
      stats.remove(target);
    }
  }

  @Override
  public double expectedSeconds(TargetRecord target, int layers, long now) {
    TargetStats targetStats = stats.get(target.name());
    int ownRequests = targetStats == null ? 0 : targetStats.assigned;
    double meanOverhead = targetStats == null ? 0 : targetStats.meanOverheadSeconds;
    double workAhead = (double) ownRequests * vmCount.getAsInt() + reportedWork(target.load(), now);
    return meanOverhead + (1 + workAhead) * layers / layersPerSecond(target.description());
  }

  private static double reportedWork(TargetLoad load, long now) {
    double ageSeconds = Math.max(0, now - load.reportedAt()) / NANOS_PER_SECOND;
    double weight = Math.pow(0.5, ageSeconds / REPORT_HALF_LIFE_SECONDS);
    return weight * (load.running() + load.queued());
  }

  private static double layersPerSecond(TargetDescription target) {
    TargetDescription.Engine engine = target.engine();
    return engine == null ? SERVICE_CALLS_PER_SECOND : engine.layersPerSecond();
  }

  private TargetStats stats(String target) {
    return stats.computeIfAbsent(target, key -> new TargetStats());
  }
}
