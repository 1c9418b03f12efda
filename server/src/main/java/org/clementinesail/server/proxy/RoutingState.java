package org.clementinesail.server.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.limits.RetryBudget;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.core.paths.LinkHealth;
import org.clementinesail.core.paths.LocalLoad;
import org.clementinesail.core.paths.PathPlanner;
import org.clementinesail.core.paths.PipeLoad;
import org.clementinesail.core.paths.ServerPicker;
import org.jspecify.annotations.Nullable;

/** What this VM routes by: desired state, fleet and own load. Confined to the event loop. */
public final class RoutingState {
  /**
   * What the site allows and where this VM stands.
   *
   * @param dataCentre data centre of this VM
   * @param leaseNanos how long a target's statement holds unless renewed
   * @param retryRatio repeated sendings allowed for each request
   * @param retryAllowance repeated sendings allowed beside that, for all VMs together
   */
  public record Settings(
      String dataCentre, long leaseNanos, double retryRatio, double retryAllowance) {}

  private final Settings settings;
  private final Fleet fleet;
  private final LocalLoad ownLoad = new LocalLoad();
  private final PipeLoad crossDataCentreLoad = new PipeLoad();
  private final LinkHealth linkHealth = new LinkHealth();
  private final PathPlanner pathPlanner;
  private final ServerPicker serverPicker;
  private final RandomGenerator random;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private @Nullable DesiredState desiredState;
  private int trafficVms = 1;

  /**
   * Creates a state that knows nothing yet.
   *
   * @param settings what the site allows
   * @param random source of draws
   */
  public RoutingState(Settings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
    this.fleet = new Fleet(settings.leaseNanos());
    this.pathPlanner = new PathPlanner(ownLoad, crossDataCentreLoad, linkHealth, random);
    this.serverPicker = new ServerPicker(ownLoad, random);
  }

  /** Returns the desired state in force, if any is known. */
  public Optional<DesiredState> desiredState() {
    return Optional.ofNullable(desiredState);
  }

  /**
   * Puts a desired state in force unless one as new is.
   *
   * @param next the state
   * @return whether it is in force now
   */
  public boolean desiredState(DesiredState next) {
    if (desiredState != null && next.version() <= desiredState.version()) {
      return false;
    }
    desiredState = next;
    return true;
  }

  /** Returns the fleet. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns this VM's load on each target. */
  public LocalLoad ownLoad() {
    return ownLoad;
  }

  /** Notes an answer that paused too long, unless an engine of its path may be the cause. */
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

  /** Returns the source of draws. */
  public RandomGenerator random() {
    return random;
  }

  /**
   * Notes how many VMs carry traffic.
   *
   * @param vms number of VMs, at least 1
   */
  public void trafficVms(int vms) {
    if (vms != trafficVms) {
      trafficVms = Math.max(1, vms);
      retryBudgets.clear();
    }
  }

  /**
   * Takes a report of an engine.
   *
   * @param report the report
   * @param suspectUntil until when a silent engine is set aside
   */
  public void recordReport(EngineReport report, long suspectUntil) {
    fleet.recordReport(report, suspectUntil);
    if (report.reachable()) {
      ownLoad.recordReport(report.id(), report.reportedAt());
    }
  }

  /**
   * Plans a path through the engines of a service.
   *
   * @param service name of the service
   * @param model how its engines behave
   * @param estimate what the request needs
   * @param excluded targets not to be used
   * @param now present time in nanoseconds
   */
  private Optional<List<Hop>> planPath(
      String service, EngineModel model, TokenEstimate estimate, Set<String> excluded, long now) {
    PathPlanner.Requirements need =
        new PathPlanner.Requirements(
            estimate.promptTokens(), estimate.answerTokens(), settings.dataCentre());
    return pathPlanner.plan(model, fleet.ready(service, now), need, excluded, trafficVms, now);
  }

  /**
   * Where a request goes.
   *
   * @param firstTarget the target that it is sent to
   * @param path the engines that it passes through; empty for a plain service
   */
  record Destination(Fleet.Member firstTarget, List<Hop> path) {}

  /** Chooses where a request goes, if any target takes it. */
  Optional<Destination> chooseDestination(
      Service service, RequestMetadata metadata, Set<String> excluded, long now) {
    EngineModel model = service.engine();
    if (model == null) {
      return pickServer(service.name(), excluded, now)
          .map(member -> new Destination(member, List.of()));
    }
    return planPath(service.name(), model, TokenEstimate.of(metadata, model), excluded, now)
        .map(path -> new Destination(fleet.member(path.get(0).id()).orElseThrow(), path));
  }

  /** Notes that a request is given to the engines of a path; returns its shares of them. */
  List<LocalLoad.Assignment> recordAssignment(
      List<Hop> path, EngineModel model, TokenEstimate estimate) {
    long now = System.nanoTime();
    List<LocalLoad.Assignment> shares = new ArrayList<>(path.size());
    long tokens = (long) estimate.promptTokens() + estimate.answerTokens();
    String dataCentre = path.get(0).dataCentre();
    for (Hop hop : path) {
      shares.add(ownLoad.assign(hop.id(), tokens * hop.layers().size(), now));
      if (!hop.dataCentre().equals(dataCentre)) {
        dataCentre = hop.dataCentre();
        crossDataCentreLoad.recordTransfer(
            PathPlanner.activationBits(model, estimate.promptTokens()), now);
      }
    }
    return shares;
  }

  /**
   * What a request needs of engines.
   *
   * @param promptTokens tokens to read
   * @param answerTokens tokens that the answer is expected to have
   */
  record TokenEstimate(int promptTokens, int answerTokens) {
    static TokenEstimate of(RequestMetadata metadata, EngineModel model) {
      int expected =
          metadata.expectedAnswerTokens() > 0
              ? metadata.expectedAnswerTokens()
              : model.meanAnswerTokens();
      int limit = metadata.maxAnswerTokens() > 0 ? metadata.maxAnswerTokens() : Integer.MAX_VALUE;
      int prompt = metadata.promptTokens() > 0 ? metadata.promptTokens() : model.meanPromptTokens();
      return new TokenEstimate(prompt, Math.min(expected, limit));
    }
  }

  /** Returns a server of a plain service. */
  private Optional<Fleet.Member> pickServer(String service, Set<String> excluded, long now) {
    return serverPicker.pick(fleet.ready(service, now), excluded, settings.dataCentre(), now);
  }

  /** Returns this VM's budget of repeated sendings to a service. */
  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        key ->
            new RetryBudget(settings.retryRatio() / 2, settings.retryAllowance() / 2 / trafficVms));
  }

  /** Returns whether a desired state and a target of one of its services are known. */
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
