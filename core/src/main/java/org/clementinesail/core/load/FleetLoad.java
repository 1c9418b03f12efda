package org.clementinesail.core.load;

import java.util.HashMap;
import java.util.Map;

/**
 * The load of all VMs together at one moment. Immutable.
 *
 * <p>A VM's own requests are only a small part of what its targets have to do. VMs that choose
 * targets by their own requests alone send all of them to the same ones.
 */
public final class FleetLoad {
  /** No information: all counts are 0, and it is never fresh. */
  public static final FleetLoad NONE = new FleetLoad(0, 0, Map.of(), Map.of(), Map.of());

  /** Two seconds are eight summaries: several may be lost before the VM falls back on its own. */
  private static final long VALID_NANOS = 2_000_000_000L;

  private final long observedAt;
  private final int reportingVms;
  private final Map<String, Integer> inProgress;
  private final Map<Waiting, Integer> waiting;
  private final Map<Demand, Double> demand;
  private final Map<String, Integer> others;
  private final Map<String, Double> meanOthers;

  /**
   * Identifies the waiting requests of one rank.
   *
   * @param service name of the service
   * @param rank rank of the requests; 0 is the most urgent
   */
  public record Waiting(String service, int rank) {}

  /**
   * Identifies the demand of one data centre.
   *
   * @param service name of the service
   * @param dataCentre data centre of the VMs that received the requests
   */
  public record Demand(String service, String dataCentre) {}

  /**
   * Creates a view.
   *
   * @param observedAt when the load was summed up, in nanoseconds of this VM's monotonic clock
   * @param reportingVms number of VMs whose load is included; 0 for no information
   * @param inProgress requests in progress by id of the target
   * @param waiting requests that wait for a target
   * @param demand requests per second
   */
  public FleetLoad(
      long observedAt,
      int reportingVms,
      Map<String, Integer> inProgress,
      Map<Waiting, Integer> waiting,
      Map<Demand, Double> demand) {
    this(observedAt, reportingVms, inProgress, waiting, demand, inProgress, asMeans(inProgress));
  }

  private FleetLoad(
      long observedAt,
      int reportingVms,
      Map<String, Integer> inProgress,
      Map<Waiting, Integer> waiting,
      Map<Demand, Double> demand,
      Map<String, Integer> others,
      Map<String, Double> meanOthers) {
    this.observedAt = observedAt;
    this.reportingVms = reportingVms;
    this.inProgress = Map.copyOf(inProgress);
    this.waiting = Map.copyOf(waiting);
    this.demand = Map.copyOf(demand);
    this.others = Map.copyOf(others);
    this.meanOthers = Map.copyOf(meanOthers);
  }

  private static Map<String, Double> asMeans(Map<String, Integer> counts) {
    Map<String, Double> means = new HashMap<>();
    counts.forEach((id, count) -> means.put(id, (double) count));
    return means;
  }

  /**
   * Returns this view with the requests of the other VMs, which are all requests unless stated.
   *
   * @param othersInProgress requests of the other VMs in progress by id of the target
   * @param means their moving averages by id of the target
   */
  FleetLoad others(Map<String, Integer> othersInProgress, Map<String, Double> means) {
    return new FleetLoad(
        observedAt, reportingVms, inProgress, waiting, demand, othersInProgress, means);
  }

  /**
   * Returns the moving average, over about a second, of {@link #othersInProgress}. Requests that
   * are shorter than the age of this view have ended when it is used, so that their momentary
   * number says nothing of the present one.
   *
   * @param targetId id of the target
   */
  public double meanOthersInProgress(String targetId) {
    return meanOthers.getOrDefault(targetId, 0.0);
  }

  /**
   * Returns the requests of the other VMs in progress at a target, without those of this VM that
   * the view includes; 0 if none is known.
   *
   * @param targetId id of the target
   */
  public int othersInProgress(String targetId) {
    return others.getOrDefault(targetId, 0);
  }

  /**
   * Returns the requests of all VMs in progress at a target; 0 if none is known.
   *
   * @param targetId id of the target
   */
  public int inProgress(String targetId) {
    return inProgress.getOrDefault(targetId, 0);
  }

  /**
   * Returns the requests of all VMs that wait for a target of a service, of exactly one rank.
   *
   * @param service name of the service
   * @param rank rank of the requests; 0 is the most urgent
   */
  public int waiting(String service, int rank) {
    return waiting.getOrDefault(new Waiting(service, rank), 0);
  }

  /**
   * Returns the requests per second for a service that the VMs of a data centre receive.
   *
   * @param service name of the service
   * @param dataCentre data centre of the VMs
   */
  public double demandPerSecond(String service, String dataCentre) {
    return demand.getOrDefault(new Demand(service, dataCentre), 0.0);
  }

  /** Returns how many VMs are included; 0 for no information. */
  public int reportingVms() {
    return reportingVms;
  }

  /**
   * Returns whether the view is recent enough for decisions.
   *
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public boolean isFresh(long now) {
    return reportingVms > 0 && now - observedAt <= VALID_NANOS;
  }

  /** Returns when the load was summed up, in nanoseconds of this VM's monotonic clock. */
  public long observedAt() {
    return observedAt;
  }
}
