package org.clementinesail.core.locality;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.load.FleetLoad;

/**
 * Derives the figures of a service without engines from its servers and the load of all VMs. Paths
 * of engines do not follow shares.
 */
public final class FigureBuilder {
  /** Ranks above this are reported as this. */
  private static final int MAX_RANK = 9;

  private FigureBuilder() {}

  /**
   * What this VM has measured of a service.
   *
   * @param callSeconds time of a call in seconds; 0 if unknown
   * @param remainingMillis time that a new request has until its answer is late, in milliseconds
   */
  public record Measured(double callSeconds, double remainingMillis) {}

  /**
   * Returns the figures of a service.
   *
   * @param service the service
   * @param ready its targets that accept new work
   * @param load load of all VMs
   * @param dataCentres names of all known data centres, also of those without targets
   * @param measured what this VM has measured
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public static ServiceFigures build(
      Service service,
      List<Fleet.Member> ready,
      FleetLoad load,
      Set<String> dataCentres,
      Measured measured,
      long now) {
    int waiting = 0;
    for (int rank = 0; rank <= MAX_RANK; rank++) {
      waiting += load.waiting(service.name(), rank);
    }
    Map<String, ServiceFigures.DataCentre> figures = new HashMap<>();
    for (String name : dataCentres) {
      List<Fleet.Member> local =
          ready.stream()
              .filter(member -> member.statement().dataCentre().equals(name))
              .filter(member -> !member.isSuspect(now))
              .toList();
      double demand = load.demandPerSecond(service.name(), name);
      figures.put(name, servers(local, load, demand));
    }
    return new ServiceFigures(
        service.name(), measured.callSeconds(), waiting, measured.remainingMillis(), 0, figures);
  }

  private static ServiceFigures.DataCentre servers(
      List<Fleet.Member> servers, FleetLoad load, double demand) {
    double slots = servers.stream().mapToInt(m -> Math.max(1, m.statement().slots())).sum();
    double inProgress = servers.stream().mapToInt(m -> load.inProgress(m.statement().id())).sum();
    return new ServiceFigures.DataCentre(demand, slots, inProgress);
  }
}
