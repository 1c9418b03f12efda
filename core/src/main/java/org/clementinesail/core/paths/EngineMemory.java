package org.clementinesail.core.paths;

import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.targets.LayerRange;

/**
 * Estimates the memory that requests take at engines, in tokens times layers as in the reports.
 *
 * <p>No VM knows what the other VMs have sent and ended since an engine's last report. They see the
 * same reports and prefer the same engines, so a cautious estimate takes them to have sent to each
 * engine as much as this VM has, and to have ended nothing. The steady estimate takes what they
 * have ended to equal what they have sent, and subtracts what this VM has ended.
 *
 * <p>If the load of all VMs is known, both use the change of the other VMs' requests instead, at
 * the mean size of the requests in the report; the cautious estimate only if it is an increase.
 */
final class EngineMemory {
  /** Usable share of the memory; the rest is for answers longer than their length hint. */
  private static final double MAX_PLANNED_SHARE = 0.9;

  private static final double MEGA = 1e6;

  private final EngineModel model;
  private final LocalLoad localLoad;
  private final SentLoad sentLoad;
  private final long now;

  /**
   * The memory of one engine, and what a request needs of it.
   *
   * @param used used by requests, as reported
   * @param changed estimated change of the use since then
   * @param required needed by the request
   * @param total total for requests
   */
  record Use(double used, double changed, double required, double total) {
    /** Returns the share of the memory that is taken with the request. */
    double share() {
      return total > 0 ? (used + changed + required) / total : Double.MAX_VALUE;
    }

    /** Returns whether the engine has memory for the request. */
    boolean fits() {
      return used + changed + required <= total * MAX_PLANNED_SHARE;
    }
  }

  /**
   * Creates an estimate.
   *
   * @param model properties of the engines
   * @param localLoad requests of this VM at each engine
   * @param sentLoad requests of all VMs at each engine
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  EngineMemory(EngineModel model, LocalLoad localLoad, SentLoad sentLoad, long now) {
    this.model = model;
    this.localLoad = localLoad;
    this.sentLoad = sentLoad;
    this.now = now;
  }

  /** Returns the use of an engine if the other VMs have sent to it as much as this one has. */
  Use cautious(Fleet.Member engine, LayerRange layers, int tokens) {
    double own = localLoad.unreportedKvTokenLayers(engine.statement().id());
    double change =
        sentLoad.isKnown()
            ? own + Math.max(0, othersChange(engine, layers, tokens))
            : own * sentLoad.vms();
    return use(engine, layers, tokens, change);
  }

  /** Returns the use of an engine if the other VMs have ended as much there as they have sent. */
  Use steady(Fleet.Member engine, LayerRange layers, int tokens) {
    String id = engine.statement().id();
    double ended = Math.min(reportedUse(engine), (double) localLoad.endedKvTokenLayers(id));
    double change = localLoad.unreportedKvTokenLayers(id) - ended;
    return use(engine, layers, tokens, change + othersChange(engine, layers, tokens));
  }

  /** Returns the change by the other VMs since the report; 0 if it is not known. */
  private double othersChange(Fleet.Member engine, LayerRange layers, int tokens) {
    double requests = sentLoad.othersChange(engine);
    if (requests == 0) {
      return 0;
    }
    double mean =
        engine
            .freshReport(now)
            .filter(report -> report.running() > 0 && report.kvUsed() > 0)
            .map(report -> (double) report.kvUsed() / report.running())
            .orElse((double) tokens * layers.size());
    return Math.max(-reportedUse(engine), requests * mean);
  }

  private Use use(Fleet.Member engine, LayerRange layers, int tokens, double changed) {
    double required = (double) tokens * layers.size();
    return new Use(reportedUse(engine), changed, required, total(engine, layers));
  }

  private double reportedUse(Fleet.Member engine) {
    return engine.freshReport(now).map(report -> (double) report.kvUsed()).orElse(0.0);
  }

  private double total(Fleet.Member engine, LayerRange layers) {
    return engine
        .freshReport(now)
        .filter(report -> report.kvTotal() > 0)
        .map(report -> (double) report.kvTotal())
        .orElseGet(() -> unreportedTotal(engine, layers));
  }

  private double unreportedTotal(Fleet.Member engine, LayerRange layers) {
    double megabytes =
        model
            .accelerator(engine.statement().accelerator())
            .map(EngineModel.Accelerator::megabytes)
            .orElse(0.0);
    double megabytesPerTokenLayer = model.kvBytesPerToken() / model.layers() / MEGA;
    return Math.max(0, megabytes - layers.size() * model.layerMegabytes()) / megabytesPerTokenLayer;
  }
}
