package org.clementinesail.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetFact;
import org.clementinesail.core.targets.TargetLoad;

/**
 * What this VM itself has seen of each target: requests in flight and round trips.
 *
 * <p>The class is not thread-safe.
 */
public final class ObservedLoad implements TargetScore {
  private static final double REPORT_HALF_LIFE_SECONDS = 2.0;
  private static final double ROUND_TRIP_WEIGHT = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SERVICE_CALLS_PER_SECOND = 100;

  private static final class Seen {
    int inFlight;
    double roundTripSeconds;
  }

  private final Map<String, Seen> seen = new HashMap<>();
  private final int vms;

  /**
   * Creates the state of a VM that has seen nothing.
   *
   * @param vms number of VMs that share the targets
   */
  public ObservedLoad(int vms) {
    this.vms = vms;
  }

  /**
   * Notes that work was sent to a target.
   *
   * @param target name of the target
   */
  public void started(String target) {
    seen(target).inFlight++;
  }

  /**
   * Notes that work has come back from a target.
   *
   * @param target name of the target
   * @param overheadSeconds time spent on the way rather than on the work, as far as it is known
   */
  public void finished(String target, double overheadSeconds) {
    Seen entry = seen(target);
    entry.inFlight--;
    entry.roundTripSeconds +=
        ROUND_TRIP_WEIGHT * (Math.max(0, overheadSeconds) - entry.roundTripSeconds);
  }

  /**
   * Returns how many pieces of work of this VM a target has.
   *
   * @param target name of the target
   */
  public int inFlight(String target) {
    Seen entry = seen.get(target);
    return entry == null ? 0 : entry.inFlight;
  }

  /**
   * Forgets a target.
   *
   * @param target name of the target
   */
  public void forget(String target) {
    Seen entry = seen.get(target);
    if (entry != null && entry.inFlight == 0) {
      seen.remove(target);
    }
  }

  @Override
  public double seconds(TargetFact target, int layers, long now) {
    Seen entry = seen.get(target.name());
    int own = entry == null ? 0 : entry.inFlight;
    double roundTrip = entry == null ? 0 : entry.roundTripSeconds;
    double ahead = own + reportedByOthers(target.load(), own, now);
    return roundTrip + (1 + ahead) * layers / rate(target.description());
  }

  private double reportedByOthers(TargetLoad load, int own, long now) {
    double age = Math.max(0, now - load.reportedAt()) / NANOS_PER_SECOND;
    double trust = Math.pow(0.5, age / REPORT_HALF_LIFE_SECONDS);
    double others = Math.max(0, load.running() + load.queued() - own);
    return trust * others + (1 - trust) * own * (vms - 1);
  }

  private static double rate(TargetDescription target) {
    TargetDescription.Engine engine = target.engine();
    return engine == null ? SERVICE_CALLS_PER_SECOND : engine.layersPerSecond();
  }

  private Seen seen(String target) {
    return seen.computeIfAbsent(target, key -> new Seen());
  }
}
