package org.clementinesail.server.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.limits.RetryBudget;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.core.paths.LinkHealth;
import org.clementinesail.core.paths.LinkLoad;
import org.clementinesail.core.paths.LocalLoad;
import org.clementinesail.core.paths.PathPlanner;
import org.clementinesail.core.paths.ServerPicker;
import org.clementinesail.core.ratelimits.DemandMeter;
import org.clementinesail.core.ratelimits.SendPermissions;
import org.jspecify.annotations.Nullable;

/** Desired state, fleet and this VM's load, by which it routes. Confined to the event loop. */
public final class RoutingState {
  /**
   * Routing settings of this VM.
   *
   * @param dataCentre data centre of this VM
   * @param leaseNanos how long a target's statement is valid unless renewed, in nanoseconds
   * @param retryRatio retries allowed per request
   * @param retryAllowance retries allowed in addition, for all VMs together
   */
  public record Settings(
      String dataCentre, long leaseNanos, double retryRatio, double retryAllowance) {}

  private static final double NANOS_PER_SECOND = 1e9;

  /** Longest time over which the callers that are refused at once are spread at their return. */
  private static final double MAX_SPREAD_SECONDS = 2.5;

  private final Settings settings;
  private final Fleet fleet;
  private final SendPermissions permissions;
  private final DemandMeter demand = new DemandMeter();
  private final TargetPermits permits;
  private final LocalLoad ownLoad = new LocalLoad();
  private final LinkLoad crossDataCentreLoad = new LinkLoad();
  private final LinkHealth linkHealth = new LinkHealth();
  private final PathPlanner pathPlanner;
  private final ServerPicker serverPicker;
  private final LocalityState locality;
  private final RandomGenerator random;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private @Nullable DesiredState desiredState;
  private int trafficVms = 1;
  private int sendingVms;
  private FleetLoad fleetLoad = FleetLoad.NONE;
  private final AdmissionQueues admission = new AdmissionQueues(this::fleetLoad);

  /**
   * Creates a state without a desired state and without targets.
   *
   * @param settings routing settings of this VM
   * @param random random numbers for routing and retry delays
   */
  public RoutingState(Settings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
    this.fleet = new Fleet(settings.leaseNanos());
    this.permissions = new SendPermissions(random);
    this.permits = new TargetPermits(permissions, demand);
    // Engines are chosen by their reports alone: with the load of all VMs, VMs that had just
    // started lacked processor time, and streams came late.
    this.pathPlanner = new PathPlanner(ownLoad, crossDataCentreLoad, linkHealth, random);
    this.serverPicker = new ServerPicker(ownLoad, this::fleetLoad, random);
    this.locality = new LocalityState(settings.dataCentre(), linkHealth, random);
  }

  /** Returns the current desired state, or empty if none is known yet. */
  public Optional<DesiredState> desiredState() {
    return Optional.ofNullable(desiredState);
  }

  /** Returns the version of the current desired state, or empty if none is known yet. */
  public OptionalLong desiredVersion() {
    return desiredState == null ? OptionalLong.empty() : OptionalLong.of(desiredState.version());
  }

  /**
   * Replaces the desired state unless the current one has the same or a newer version.
   *
   * @param next the new state
   * @return whether it was replaced
   */
  public boolean desiredState(DesiredState next) {
    if (desiredState != null && next.version() <= desiredState.version()) {
      return false;
    }
    desiredState = next;
    fleet.services(next.serviceNames());
    return true;
  }

  /** Returns the data centre of this VM. */
  String dataCentre() {
    return settings.dataCentre();
  }

  /** Returns the known targets, with their statements and reports. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns the load of all VMs together, as last summed up; never null. */
  FleetLoad fleetLoad() {
    return fleetLoad;
  }

  /**
   * Replaces the load of all VMs together.
   *
   * @param next the new view
   */
  public void fleetLoad(FleetLoad next) {
    fleetLoad = next;
  }

  /** Returns the shares of demand that leave this VM's data centre. */
  LocalityState locality() {
    return locality;
  }

  /** Returns the requests that wait for targets. */
  public AdmissionQueues admission() {
    return admission;
  }

  /** Returns this VM's load on each target. */
  public LocalLoad ownLoad() {
    return ownLoad;
  }

  /**
   * Records a pause above the route's limit as one of the link to the first engine, if that is in
   * another data centre and no engine of the path is suspect.
   */
  void recordLatePause(List<Hop> path, long now) {
    boolean engineAtFault =
        path.stream()
            .anyMatch(hop -> fleet.member(hop.id()).map(m -> m.isSuspect(now)).orElse(true));
    if (!path.isEmpty()
        && !engineAtFault
        && !path.get(0).dataCentre().equals(settings.dataCentre())) {
      linkHealth.recordPause(path.get(0).dataCentre(), now);
    }
  }

  /** Returns a delay for a refused caller, longer than needed by a random part, at most twice. */
  double spread(double seconds) {
    return seconds + Math.min(seconds, MAX_SPREAD_SECONDS) * random.nextDouble();
  }

  /** Returns the random number generator for routing and retry delays. */
  public RandomGenerator random() {
    return random;
  }

  /**
   * Sets how many VMs carry traffic; a change resets the retry budgets, as the VMs share them.
   *
   * @param vms number of VMs; less than 1 counts as 1
   */
  public void trafficVms(int vms) {
    if (vms != trafficVms) {
      trafficVms = Math.max(1, vms);
      retryBudgets.clear();
    }
  }

  /**
   * Sets how many of the VMs that carry traffic send requests to targets; the others reach none.
   *
   * @param vms number of VMs; 0 if it is not known
   */
  public void sendingVms(int vms) {
    sendingVms = vms;
  }

  /** Returns how many VMs carry traffic, as far as this VM knows; at least 1. */
  int trafficVms() {
    return trafficVms;
  }

  /**
   * Records a report of an engine.
   *
   * @param report the report
   * @param suspectUntil until when an unreachable engine is suspect, in nanoseconds
   */
  public void recordReport(EngineReport report, long suspectUntil) {
    fleet.recordReport(report, suspectUntil);
    admission.wake();
    if (report.reachable()) {
      ownLoad.recordReport(report.id(), report.reportedAt());
    }
  }

  /**
   * Returns a path through the engines of a service, or empty if none is available.
   *
   * @param service the service
   * @param model timing and sizes of its engines
   * @param estimate expected tokens of the request
   * @param excluded ids of targets not to use
   * @param now current time in nanoseconds
   */
  private Optional<List<Hop>> planPath(
      Service service, EngineModel model, TokenEstimate estimate, Set<String> excluded, long now) {
    List<Fleet.Member> ready = fleet.ready(service.name(), now);
    Set<String> notFirst = withoutPermit(ready, now);
    int vms = vmsThatSend();
    return pathPlanner.plan(model, ready, requirements(estimate), excluded, notFirst, vms, now);
  }

  private int vmsThatSend() {
    return sendingVms > 0 ? sendingVms : trafficVms;
  }

  /** Draws the data centre that serves a request; empty if no shares are known. */
  private Optional<String> drawDataCentre(Service service, long now) {
    return locality.draw(desiredState(), service, fleet, fleetLoad, now);
  }

  /** Returns for the log why no target is found; empty for a service without engines. */
  String describeGaps(Service service, RequestMetadata metadata, Set<String> excluded, long now) {
    EngineModel model = service.engine();
    if (model == null) {
      return "";
    }
    TokenEstimate estimate = TokenEstimate.of(metadata, model);
    List<Fleet.Member> ready = fleet.ready(service.name(), now);
    Set<String> readyIds = new HashSet<>();
    ready.forEach(member -> readyIds.add(member.statement().id()));
    List<Fleet.Member> known =
        fleet.members().stream()
            .filter(member -> member.statement().service().equals(service.name()))
            .toList();
    return pathPlanner.describeGaps(
        model, known, readyIds, requirements(estimate), excluded, withoutPermit(ready, now), now);
  }

  private PathPlanner.Requirements requirements(TokenEstimate estimate) {
    return new PathPlanner.Requirements(
        estimate.promptTokens(), estimate.answerTokens(), settings.dataCentre());
  }

  /** Returns the target for a request, or empty if none is available. */
  Optional<Destination> chooseDestination(
      Service service, RequestMetadata metadata, Set<String> excluded, long now) {
    EngineModel model = service.engine();
    if (model == null) {
      return pickTarget(service, excluded, now).map(member -> new Destination(member, List.of()));
    }
    return planPath(service, model, TokenEstimate.of(metadata, model), excluded, now)
        .map(path -> new Destination(fleet.member(path.get(0).id()).orElseThrow(), path));
  }

  /** Returns a target and path again, or empty unless all of them take new requests. */
  Optional<Destination> sameDestination(String service, String id, List<Hop> path, long now) {
    Map<String, Fleet.Member> ready = new HashMap<>();
    fleet.ready(service, now).stream()
        .filter(member -> !member.isSuspect(now))
        .forEach(member -> ready.put(member.statement().id(), member));
    return Optional.ofNullable(ready.get(id))
        .filter(member -> permissions.maySend(member.statement(), trafficVms, now))
        .filter(member -> path.stream().allMatch(hop -> ready.containsKey(hop.id())))
        .map(member -> new Destination(member, path));
  }

  /**
   * Takes a retry from the budget if there is one and a destination; returns the destination, or
   * empty.
   */
  Optional<Destination> acquireRetry(Service service, Supplier<Optional<Destination>> choice) {
    RetryBudget budget = retryBudget(service.name());
    return budget.hasRetry()
        ? choice.get().filter(destination -> budget.tryAcquireRetry())
        : Optional.empty();
  }

  /**
   * Returns in how many seconds a target of a service takes requests again, if some of its targets
   * want none for a time or have reached their limits and no other can serve a request; empty
   * otherwise.
   */
  OptionalDouble deferralSeconds(Service service, RequestMetadata metadata, long now) {
    OptionalLong until = fleet.deferredUntil(service.name(), now);
    List<Fleet.Member> ready = fleet.ready(service.name(), now);
    OptionalDouble limited = permits.limitedSeconds(service.name(), ready, trafficVms, now);
    boolean deferred = until.isPresent() || limited.isPresent();
    if (!deferred || chooseDestination(service, metadata, Set.of(), now).isPresent()) {
      return OptionalDouble.empty();
    }
    double seconds =
        until.isPresent() ? (until.getAsLong() - now) / NANOS_PER_SECOND : Double.MAX_VALUE;
    return OptionalDouble.of(Math.min(seconds, limited.orElse(Double.MAX_VALUE)));
  }

  private Set<String> withoutPermit(List<Fleet.Member> ready, long now) {
    return permits.exhausted(ready, trafficVms, now);
  }

  /** Returns the permissions to send to targets that limit their rate. */
  public SendPermissions permissions() {
    return permissions;
  }

  /** Returns the rates of requests by service. */
  public DemandMeter demand() {
    return demand;
  }

  /** Records that a request is sent to a target. */
  void recordSent(Fleet.Member target, long now) {
    permissions.recordSent(target.statement(), trafficVms, now);
    TargetStatement statement = target.statement();
    admission.fullTargets().recordSent(statement.service(), statement.id(), now);
  }

  /** Records a request sent to the engines of a path; returns the load added to each engine. */
  List<LocalLoad.Assignment> recordAssignment(
      List<Hop> path, EngineModel model, TokenEstimate estimate) {
    long now = System.nanoTime();
    List<LocalLoad.Assignment> assignments = new ArrayList<>(path.size());
    long tokens = (long) estimate.promptTokens() + estimate.answerTokens();
    String dataCentre = path.get(0).dataCentre();
    for (Hop hop : path) {
      assignments.add(ownLoad.assign(hop.id(), tokens * hop.layers().size(), now));
      if (!hop.dataCentre().equals(dataCentre)) {
        dataCentre = hop.dataCentre();
        crossDataCentreLoad.recordTransfer(
            PathPlanner.activationBits(model, estimate.promptTokens()), now);
      }
    }
    return assignments;
  }

  /** Returns a target of a service without engines, or empty if none is available. */
  private Optional<Fleet.Member> pickTarget(Service service, Set<String> excluded, long now) {
    List<Fleet.Member> ready = fleet.ready(service.name(), now);
    Set<String> avoided = withoutPermit(ready, now);
    avoided.addAll(excluded);
    Optional<String> selected = drawDataCentre(service, now);
    return admission.pickWithRoom(
        service.name(),
        ready,
        avoided,
        now,
        (servers, without) ->
            selected.isPresent()
                ? serverPicker.pickByShare(servers, without, selected.get(), now)
                : serverPicker.pick(servers, without, settings.dataCentre(), now));
  }

  /** Returns this VM's budget of retries to a service, from half of the values in the settings. */
  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        key ->
            new RetryBudget(settings.retryRatio() / 2, settings.retryAllowance() / 2 / trafficVms));
  }

  /** Returns whether a desired state and a target of at least one of its services are known. */
  public boolean canServe() {
    DesiredState state = desiredState;
    if (state == null) {
      return false;
    }
    Set<String> services = new HashSet<>();
    fleet.members().forEach(member -> services.add(member.statement().service()));
    return state.services().stream().anyMatch(s -> services.contains(s.name()));
  }
}
