package org.clementinesail.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetFact;
import org.clementinesail.core.targets.TargetLoad;

/**
 * What this VM itself knows of each target: the work it has there and the time lost on the way.
 *
 * <p>Other VMs are taken to have as much work there as this one, since the balancer spreads
 * requests evenly; load reports add what waits at the target, the less the older they are. The
 * class is not thread-safe.
 */
public final class ObservedLoad implements TargetScore {
  private static final double REPORT_HALF_LIFE_SECONDS = 2.0;
  private static final double OVERHEAD_WEIGHT = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SERVICE_CALLS_PER_SECOND = 100;

  private static final class Seen {
    int assigned;
    double overheadSeconds;
  }

  private final Map<String, Seen> seen = new HashMap<>();
  private final IntSupplier vms;

  /**
   * Creates the state of a VM that has seen nothing.
   *
   * @param vms number of VMs that share the targets
   */
  public ObservedLoad(IntSupplier vms) {
    this.vms = vms;
  }

  /**
   * Notes that a request has taken a target into its chain, or a call is sent to it.
   *
   * @param target name of the target
   */
  public void assigned(String target) {
    seen(target).assigned++;
  }

  /**
   * Notes that a request or call is done with a target.
   *
   * @param target name of the target
   */
  public void released(String target) {
    seen(target).assigned--;
  }

  /**
   * Notes how much time a piece of work lost on the way and in queues.
   *
   * @param target name of the target
   * @param seconds the time, without the work itself
   */
  public void overhead(String target, double seconds) {
    Seen entry = seen(target);
    entry.overheadSeconds += OVERHEAD_WEIGHT * (Math.max(0, seconds) - entry.overheadSeconds);
  }

  /**
   * Forgets a target.
   *
   * @param target name of the target
   */
  public void forget(String target) {
    Seen entry = seen.get(target);
    if (entry != null && entry.assigned == 0) {
      seen.remove(target);
    }
  }

  @Override
  public double seconds(TargetFact target, int layers, long now) {
    Seen entry = seen.get(target.name());
    int own = entry == null ? 0 : entry.assigned;
    double overhead = entry == null ? 0 : entry.overheadSeconds;
    double ahead = (double) own * vms.getAsInt() + waiting(target.load(), now);
    return overhead + (1 + ahead) * layers / rate(target.description());
  }

  private static double waiting(TargetLoad load, long now) {
    double age = Math.max(0, now - load.reportedAt()) / NANOS_PER_SECOND;
    double trust = Math.pow(0.5, age / REPORT_HALF_LIFE_SECONDS);
    return trust * (load.running() + load.queued());
  }

  private static double rate(TargetDescription target) {
    TargetDescription.Engine engine = target.engine();
    return engine == null ? SERVICE_CALLS_PER_SECOND : engine.layersPerSecond();
  }

  private Seen seen(String target) {
    return seen.computeIfAbsent(target, key -> new Seen());
  }
}
