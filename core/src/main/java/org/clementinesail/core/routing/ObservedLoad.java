package org.clementinesail.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;

/**
 * What this VM itself knows of each target: the work it has there and the time lost on the way.
 *
 * <p>Other VMs are taken to have as much work there as this one, since the balancer spreads
 * requests evenly; load reports add what waits at the target, the less the older they are. The
 * class is not thread-safe.
 */
public final class ObservedLoad implements LatencyEstimator {
  private static final double REPORT_HALF_LIFE_SECONDS = 2.0;
  private static final double OVERHEAD_EWMA_WEIGHT = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SERVICE_CALLS_PER_SECOND = 100;

  private static final class TargetStats {
    int assigned;
    double meanOverheadSeconds;
  }

  private final Map<String, TargetStats> stats = new HashMap<>();
  private final IntSupplier vmCount;

  /**
   * Creates the state of a VM that has seen nothing.
   *
   * @param vmCount number of VMs that share the targets
   */
  public ObservedLoad(IntSupplier vmCount) {
    this.vmCount = vmCount;
  }

  /**
   * Notes that a request has taken a target into its chain, or a call is sent to it.
   *
   * @param target name of the target
   */
  public void recordAssignment(String target) {
    stats(target).assigned++;
  }

  /**
   * Notes that a request or call is done with a target.
   *
   * @param target name of the target
   */
  public void recordRelease(String target) {
    stats(target).assigned--;
  }

  /**
   * Notes how much time a piece of work lost on the way and in queues.
   *
   * @param target name of the target
   * @param seconds the time, without the work itself
   */
  public void recordOverhead(String target, double seconds) {
    TargetStats entry = stats(target);
    entry.meanOverheadSeconds +=
        OVERHEAD_EWMA_WEIGHT * (Math.max(0, seconds) - entry.meanOverheadSeconds);
  }

  /**
   * Forgets a target.
   *
   * @param target name of the target
   */
  public void removeIfIdle(String target) {
    TargetStats entry = stats.get(target);
    if (entry != null && entry.assigned == 0) {
      stats.remove(target);
    }
  }

  @Override
  public double expectedSeconds(TargetRecord target, int layers, long now) {
    TargetStats entry = stats.get(target.name());
    int own = entry == null ? 0 : entry.assigned;
    double overhead = entry == null ? 0 : entry.meanOverheadSeconds;
    double ahead = (double) own * vmCount.getAsInt() + reportedWork(target.load(), now);
    return overhead + (1 + ahead) * layers / layersPerSecond(target.description());
  }

  private static double reportedWork(TargetLoad load, long now) {
    double age = Math.max(0, now - load.reportedAt()) / NANOS_PER_SECOND;
    double trust = Math.pow(0.5, age / REPORT_HALF_LIFE_SECONDS);
    return trust * (load.running() + load.queued());
  }

  private static double layersPerSecond(TargetDescription target) {
    TargetDescription.Engine engine = target.engine();
    return engine == null ? SERVICE_CALLS_PER_SECOND : engine.layersPerSecond();
  }

  private TargetStats stats(String target) {
    return stats.computeIfAbsent(target, key -> new TargetStats());
  }
}
