package org.clementinesail.core.paths;

import java.util.Optional;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.load.FleetLoad;

/**
 * Estimates the requests that all VMs have at an engine, and those that its last report does not
 * include.
 *
 * <p>If the load of all VMs is known, it tells what the others have sent and ended since the
 * report. Otherwise, each of the others is taken to have sent as much as this VM.
 */
final class SentLoad {
  private final LocalLoad localLoad;
  private final FleetLoad fleetLoad;
  private final int vms;
  private final long now;
  private final boolean known;

  /**
   * Creates an estimate.
   *
   * @param localLoad requests of this VM at each engine
   * @param fleetLoad last known load of all VMs
   * @param vms number of VMs that send requests to the engines
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  SentLoad(LocalLoad localLoad, FleetLoad fleetLoad, int vms, long now) {
    this.localLoad = localLoad;
    this.fleetLoad = fleetLoad;
    this.vms = vms;
    this.now = now;
    this.known = fleetLoad.isFresh(now);
  }

  /** Returns the number of VMs that send requests to the engines. */
  int vms() {
    return vms;
  }

  /** Returns whether the load of all VMs is known. */
  boolean isKnown() {
    return known;
  }

  /** Returns the requests that all VMs have sent to an engine since its last report. */
  double unreported(Fleet.Member engine) {
    String id = engine.statement().id();
    double own = localLoad.unreportedRequests(id);
    return known ? own + Math.max(0, othersChange(engine)) : own * vms;
  }

  /** Returns the requests of all VMs at an engine, without those that wait there. */
  double running(Fleet.Member engine) {
    String id = engine.statement().id();
    Optional<EngineReport> report = engine.freshReport(now);
    if (report.isPresent()) {
      return report.get().running() + unreported(engine);
    }
    double own = localLoad.requestCount(id);
    return known ? own + fleetLoad.othersInProgress(id) : own * vms;
  }

  /**
   * Returns by how much the requests of the other VMs at an engine have changed since its last
   * report; 0 if it is not known.
   */
  double othersChange(Fleet.Member engine) {
    String id = engine.statement().id();
    Optional<EngineReport> report = engine.freshReport(now);
    if (!known || report.isEmpty()) {
      return 0;
    }
    double all = (double) report.get().running() + report.get().waiting();
    double own =
        (double) localLoad.requestCount(id)
            - localLoad.unreportedRequests(id)
            + localLoad.endedRequests(id);
    return fleetLoad.othersInProgress(id) - Math.max(0, all - own);
  }
}
