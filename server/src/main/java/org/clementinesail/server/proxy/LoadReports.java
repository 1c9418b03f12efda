package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.load.LoadBounds;
import org.clementinesail.core.load.LoadCounts;
import org.clementinesail.core.load.LoadReport;
import org.clementinesail.core.load.LoadReporter;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.logging.LoadLog;
import org.clementinesail.wire.CodecException;
import org.clementinesail.wire.LoadCodec;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.LoadSummary;

/**
 * Reports this VM's load to the control VM that leads, and keeps the load of all VMs that it sends.
 * Confined to the event loop.
 */
public final class LoadReports {
  private static final long REPORT_INTERVAL_MS = 250;

  /** Rates below this, in requests per second, are 0 in a message. */
  private static final double MIN_RATE = 0.05;

  private final EventLoop loop;
  private final RoutingState routing;
  private final ProxyMetrics metrics;
  private final LoadLog log;
  private final LoadReporter reporter = new LoadReporter();
  private Supplier<Map<FleetLoad.Waiting, Integer>> waiting = Map::of;
  private BiPredicate<String, Frame> sender = (vm, frame) -> false;
  private Consumer<Frame> broadcast = frame -> {};
  private boolean known;

  /**
   * Creates reports that are not sent yet.
   *
   * @param loop event loop that all methods are called on
   * @param routing source of the load, and receiver of that of all VMs
   * @param metrics counts messages and invalid values
   * @param log receives invalid values, and whether the load of all VMs is known
   */
  public LoadReports(EventLoop loop, RoutingState routing, ProxyMetrics metrics, DecisionLog log) {
    this.loop = loop;
    this.routing = routing;
    this.metrics = metrics;
    this.log = new LoadLog(log);
  }

  /**
   * Sets the source of the requests that wait for a target; none wait without it.
   *
   * @param next supplies the waiting requests by service and rank
   */
  public void waiting(Supplier<Map<FleetLoad.Waiting, Integer>> next) {
    waiting = next;
  }

  /**
   * Starts to send reports.
   *
   * @param one sends a frame to a VM; returns false if it is not connected
   * @param all sends a frame to all control VMs
   */
  public void start(BiPredicate<String, Frame> one, Consumer<Frame> all) {
    sender = one;
    broadcast = all;
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("reporting the load", this::report),
        REPORT_INTERVAL_MS,
        REPORT_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void report() {
    long now = System.nanoTime();
    LoadCounts counts = counts(now);
    if (!counts.isEmpty()) {
      logWhetherKnown(now);
    }
    Optional<LoadReport> report = reporter.next(counts, now);
    if (report.isPresent()) {
      metrics.count("load_reports_sent_total");
      Frame frame = LoadCodec.encode(report.get(), routing.dataCentre());
      if (reporter.leader(now).filter(vm -> sender.test(vm, frame)).isEmpty()) {
        broadcast.accept(frame);
      }
    }
  }

  private LoadCounts counts(long now) {
    Map<FleetLoad.Demand, Double> demand = new HashMap<>();
    routing
        .demand()
        .rates(now)
        .forEach(
            (service, rate) -> {
              if (rate >= MIN_RATE) {
                demand.put(new FleetLoad.Demand(service, routing.dataCentre()), rate);
              }
            });
    Map<Integer, Integer> inProgress = LoadCounts.byHash(routing.ownLoad().requestCounts());
    return new LoadCounts(inProgress, waiting.get(), demand);
  }

  /** Logs a change of whether routing uses the load of all VMs, while this VM has load. */
  private void logWhetherKnown(long now) {
    FleetLoad load = routing.fleetLoad();
    if (load.isFresh(now) != known) {
      known = load.isFresh(now);
      metrics.count(known ? "load_known_total" : "load_unknown_total");
      log.known(load, known, now);
    }
  }

  /**
   * Replaces the load of all VMs.
   *
   * @param vm control VM that sent it
   * @param message the load
   */
  public void receive(String vm, LoadSummary message) {
    long now = System.nanoTime();
    metrics.count("load_summaries_received_total");
    try {
      List<String> targets =
          routing.fleet().members().stream().map(member -> member.statement().id()).toList();
      LoadReporter.View view = reporter.receive(vm, LoadCodec.decode(message), targets, now);
      routing.fleetLoad(view.load());
      rejected(vm, view.rejected(), now);
    } catch (CodecException e) {
      rejected(
          vm, List.of(new LoadBounds.Rejected("message", String.valueOf(e.getMessage()))), now);
    }
  }

  private void rejected(String vm, List<LoadBounds.Rejected> values, long now) {
    values.forEach(value -> metrics.count("load_values_rejected_total"));
    log.rejected(vm, values, now);
  }
}
