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
   * @param retrySlack repeated sendings allowed beside that, for all VMs together
   */
  public record Site(String dataCentre, long leaseNanos, double retryRatio, double retrySlack) {}

  private final Site site;
  private final Fleet fleet;
  private final LocalLoad own = new LocalLoad();
  private final PipeLoad pipe = new PipeLoad();
  private final LinkHealth links = new LinkHealth();
  private final PathPlanner paths;
  private final ServerPicker servers;
  private final RandomGenerator random;
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private @Nullable DesiredState desired;
  private int trafficVms = 1;

  /**
   * Creates a state that knows nothing yet.
   *
   * @param site what the site allows
   * @param random source of draws
   */
  public RoutingState(Site site, RandomGenerator random) {
    this.site = site;
    this.random = random;
    this.fleet = new Fleet(site.leaseNanos());
    this.paths = new PathPlanner(own, pipe, links, random);
    this.servers = new ServerPicker(own, random);
  }

  /** Returns the desired state in force, if any is known. */
  public Optional<DesiredState> desired() {
    return Optional.ofNullable(desired);
  }

  /**
   * Puts a desired state in force unless one as new is.
   *
   * @param next the state
   * @return whether it is in force now
   */
  public boolean desired(DesiredState next) {
    if (desired != null && next.version() <= desired.version()) {
      return false;
    }
    desired = next;
    return true;
  }

  /** Returns the fleet. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns this VM's load on each target. */
  public LocalLoad own() {
    return own;
  }

  /** Notes an answer that paused too long, unless an engine of its path may be the cause. */
  void paused(List<Hop> path, long now) {
    boolean engineAtFault =
        path.stream()
            .anyMatch(hop -> fleet.member(hop.id()).map(m -> m.isSuspect(now)).orElse(true));
    if (!path.isEmpty() && !engineAtFault && !path.get(0).dataCentre().equals(site.dataCentre())) {
      links.recordPause(path.get(0).dataCentre(), now);
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
      budgets.clear();
    }
  }

  /**
   * Takes a report of an engine.
   *
   * @param report the report
   * @param suspectUntil until when a silent engine is set aside
   */
  public void reported(EngineReport report, long suspectUntil) {
    fleet.recordReport(report, suspectUntil);
    if (report.reachable()) {
      own.recordReport(report.id(), report.reportedAt());
    }
  }

  /**
   * Plans a path through the engines of a service.
   *
   * @param service name of the service
   * @param model how its engines behave
   * @param need what the request needs
   * @param excluded targets not to be used
   * @param now present time in nanoseconds
   */
  private Optional<List<Hop>> path(
      String service, EngineModel model, Need need, Set<String> excluded, long now) {
    PathPlanner.Requirements planned =
        new PathPlanner.Requirements(need.promptTokens(), need.answerTokens(), site.dataCentre());
    return paths.plan(model, fleet.ready(service, now), planned, excluded, trafficVms, now);
  }

  /**
   * Where a request goes.
   *
   * @param first the target that it is sent to
   * @param path the engines that it passes through; empty for a plain service
   */
  record Choice(Fleet.Member first, List<Hop> path) {}

  /** Chooses where a request goes, if any target takes it. */
  Optional<Choice> choose(Service service, CallerHead said, Set<String> excluded, long now) {
    EngineModel model = service.engine();
    if (model == null) {
      return server(service.name(), excluded, now).map(member -> new Choice(member, List.of()));
    }
    return path(service.name(), model, Need.of(said, model), excluded, now)
        .map(path -> new Choice(fleet.member(path.get(0).id()).orElseThrow(), path));
  }

  /** Notes that a request is given to the engines of a path; returns its shares of them. */
  List<LocalLoad.Assignment> assigned(List<Hop> path, EngineModel model, Need need) {
    long now = System.nanoTime();
    List<LocalLoad.Assignment> shares = new ArrayList<>(path.size());
    long tokens = (long) need.promptTokens() + need.answerTokens();
    String at = path.get(0).dataCentre();
    for (Hop hop : path) {
      shares.add(own.assign(hop.id(), tokens * hop.layers().size(), now));
      if (!hop.dataCentre().equals(at)) {
        at = hop.dataCentre();
        pipe.recordTransfer(PathPlanner.activationBits(model, need.promptTokens()), now);
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
  record Need(int promptTokens, int answerTokens) {
    static Need of(CallerHead said, EngineModel model) {
      int answer = said.answerHint() > 0 ? said.answerHint() : model.usualAnswerTokens();
      int most = said.answerTokens() > 0 ? said.answerTokens() : Integer.MAX_VALUE;
      int prompt = said.promptTokens() > 0 ? said.promptTokens() : model.usualPromptTokens();
      return new Need(prompt, Math.min(answer, most));
    }
  }

  /** Returns a server of a plain service. */
  private Optional<Fleet.Member> server(String service, Set<String> excluded, long now) {
    return servers.pick(fleet.ready(service, now), excluded, site.dataCentre(), now);
  }

  /** Returns this VM's budget of repeated sendings to a service. */
  RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service, key -> new RetryBudget(site.retryRatio() / 2, site.retrySlack() / 2 / trafficVms));
  }

  /** Returns whether a desired state and a target of one of its services are known. */
  public boolean canServe() {
    DesiredState state = desired;
    if (state == null) {
      return false;
    }
    Set<String> services = new HashSet<>();
    fleet.members().forEach(member -> services.add(member.statement().service()));
    return state.services().stream().anyMatch(s -> services.contains(s.name()));
  }
}
