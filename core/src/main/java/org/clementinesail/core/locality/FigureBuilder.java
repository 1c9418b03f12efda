package org.clementinesail.core.locality;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/** Derives the figures of a service from its targets and the load of all VMs. */
public final class FigureBuilder {
  /** Usable share of an engine's memory; the same as in the planning of paths. */
  private static final double MAX_PLANNED_SHARE = 0.9;

  /** Ranks above this are reported as this. */
  private static final int MAX_RANK = 9;

  private FigureBuilder() {}

  /**
   * What this VM has measured of a service.
   *
   * @param callSeconds time of a call in seconds; 0 if unknown
   * @param remainingMillis time that a new request has until its answer is late, in milliseconds
   * @param crossings mean number of times that a path changes the data centre
   */
  public record Measured(double callSeconds, double remainingMillis, double crossings) {}

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
    EngineModel model = service.engine();
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
      figures.put(
          name, model == null ? servers(local, load, demand) : engines(model, local, demand, now));
    }
    // The call time of engines varies with their load, so their requests in progress decide.
    return new ServiceFigures(
        service.name(),
        model == null ? measured.callSeconds() : 0,
        waiting,
        measured.remainingMillis(),
        model == null ? 0 : measured.crossings() * meanTokens(model) * model.activationBytes(),
        figures);
  }

  private static double meanTokens(EngineModel model) {
    return (double) model.meanPromptTokens() + model.meanAnswerTokens();
  }

  private static ServiceFigures.DataCentre servers(
      List<Fleet.Member> servers, FleetLoad load, double demand) {
    double slots = servers.stream().mapToInt(m -> Math.max(1, m.statement().slots())).sum();
    double inProgress = servers.stream().mapToInt(m -> load.inProgress(m.statement().id())).sum();
    return new ServiceFigures.DataCentre(demand, slots, inProgress);
  }

  /**
   * Returns the figures of engines, in requests over all layers. The layer that is held for the
   * fewest requests bounds the capacity; a data centre that lacks a layer has none.
   */
  private static ServiceFigures.DataCentre engines(
      EngineModel model, List<Fleet.Member> engines, double demand, long now) {
    double[] byLayer = new double[model.layers()];
    double inProgress = 0;
    for (Fleet.Member engine : engines) {
      LayerRange layers = engine.layers();
      if (layers == null || layers.to() > model.layers()) {
        continue;
      }
      EngineReport report = engine.freshReport(now).orElse(null);
      double tokens = Math.max(1, meanTokens(model)) * layers.size();
      double requests = requests(engine, report, tokens);
      for (int layer = layers.from(); layer < layers.to(); layer++) {
        byLayer[layer] += requests;
      }
      if (report != null) {
        double running = Math.max(report.running(), report.kvUsed() / tokens) + report.waiting();
        inProgress += running * layers.size() / model.layers();
      }
    }
    double slots = Double.MAX_VALUE;
    for (double requests : byLayer) {
      slots = Math.min(slots, requests);
    }
    return new ServiceFigures.DataCentre(demand, byLayer.length == 0 ? 0 : slots, inProgress);
  }

  private static double requests(
      Fleet.Member engine, @Nullable EngineReport report, double tokens) {
    double slots = Math.max(1, engine.statement().slots());
    return report == null || report.kvTotal() <= 0
        ? slots
        : Math.min(slots, report.kvTotal() * MAX_PLANNED_SHARE / tokens);
  }
}
