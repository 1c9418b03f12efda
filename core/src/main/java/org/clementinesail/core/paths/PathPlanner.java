package org.clementinesail.core.paths;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the engines that a request passes through: the path over layer boundaries with the least
 * expected time, among engines with memory for the request.
 *
 * <p>Answers steady and bursty load seen by several VMs at once: what this VM has sent since an
 * engine's last report counts once for each VM, since all see the same report, and a small random
 * factor keeps VMs from choosing alike.
 */
public final class PathPlanner {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double BITS_PER_BYTE = 8;
  private static final double MEGA = 1e6;

  /** Delay of a hop within a data centre and between two, in milliseconds a token. */
  private static final double LOCAL_HOP_MILLIS = 0.2;

  private static final double REMOTE_HOP_MILLIS = 0.7;

  /** Use of the pipe above which its waits are not told apart any more. */
  private static final double MAX_UTILIZATION = 0.9;

  /** A transfer delays others as much as it is delayed itself. */
  private static final double SHARED_DELAY_FACTOR = 2;

  /** What a first engine in another data centre adds: the way of the request and its events. */
  private static final double REMOTE_START_MILLIS = 30;

  /** A token that reaches an engine waits for half a pass on average, and then for its own. */
  private static final double PASSES_PER_STEP = 1.5;

  /** Share of the memory for requests that may be planned, since answers outgrow their hints. */
  private static final double MAX_PLANNED_KV_SHARE = 0.9;

  /** Spread of the random factor on each engine's time. */
  private static final double RANDOM_SPREAD = 0.15;

  /** How many reports' worth of work an engine's waiting line adds to its time. */
  private static final double WAITING_WEIGHT = 1.0;

  private final LocalLoad localLoad;
  private final PipeLoad pipe;
  private final LinkHealth links;
  private final RandomGenerator random;

  /**
   * What a request needs.
   *
   * @param promptTokens tokens to read
   * @param answerTokens tokens that the answer is expected to have
   * @param dataCentre data centre of the VM, where the path should begin
   */
  public record Requirements(int promptTokens, int answerTokens, String dataCentre) {}

  /** An engine with its estimated times for the request at hand. */
  private record Candidate(Fleet.Member member, LayerRange layers, double millisPerLayer) {}

  /** The cheapest way found to a layer boundary that ends in one data centre. */
  private record PartialPath(
      double millis, @Nullable PartialPath previous, @Nullable Hop lastHop) {}

  /**
   * Creates a planner.
   *
   * @param localLoad work of this VM at each target
   * @param pipe use of the pipe between data centres
   * @param links state of the links to other data centres
   * @param random source of the random factors
   */
  public PathPlanner(LocalLoad localLoad, PipeLoad pipe, LinkHealth links, RandomGenerator random) {
    this.localLoad = localLoad;
    this.pipe = pipe;
    this.links = links;
    this.random = random;
  }

  /**
   * Plans a path over all layers.
   *
   * @param model how the engines behave
   * @param engines engines that take new work
   * @param need what the request needs
   * @param excluded identities of targets not to be used
   * @param vms number of VMs that give work to the engines
   * @param now present time in nanoseconds
   * @return the hops in order, or empty if the engines cannot serve the request now
   */
  public Optional<List<Hop>> plan(
      EngineModel model,
      List<Fleet.Member> engines,
      Requirements need,
      Set<String> excluded,
      int vms,
      long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (Fleet.Member engine : engines) {
      if (!excluded.contains(engine.statement().id()) && !engine.isSuspect(now)) {
        candidate(model, engine, need, vms, now).ifPresent(candidates::add);
      }
    }
    double used = pipe.utilization(model.linkMegabitsPerSecond(), vms, now);
    Map<String, PartialPath> starts = startingPaths(candidates, need, now);
    return cheapestPath(model, candidates, starts, need, remoteHopMillis(model, need, used));
  }

  private Optional<Candidate> candidate(
      EngineModel model, Fleet.Member engine, Requirements need, int vms, long now) {
    LayerRange layers = engine.layers();
    String id = engine.statement().id();
    Accelerator kind = model.accelerator(engine.statement().accelerator()).orElse(null);
    if (layers == null || kind == null || !hasMemory(model, kind, engine, need, vms, now)) {
      return Optional.empty();
    }
    EngineReport report = engine.freshReport(now).orElse(null);
    double unseen = (double) localLoad.unreportedRequests(id) * vms;
    double running =
        report == null ? (double) localLoad.requestCount(id) * vms : report.running() + unseen;
    double waiting = report == null ? 0 : report.waiting();
    double pace = report == null ? 1 : Math.max(1, report.slowdown());
    double context = running * (need.promptTokens() + need.answerTokens()) / 1_000.0;
    double step =
        kind.stepFactor()
            * (model.stepMillis()
                + model.perRequestMillis() * running
                + model.contextMillisPerThousandTokens() * context);
    double read =
        kind.prefillFactor()
            * need.promptTokens()
            / model.prefillTokensPerSecond()
            * MILLIS_PER_SECOND;
    double all =
        need.answerTokens() * step * PASSES_PER_STEP
            + read * (1 + WAITING_WEIGHT * waiting + unseen);
    double factor = 1 + RANDOM_SPREAD * random.nextDouble();
    return Optional.of(new Candidate(engine, layers, all * pace * factor / model.layers()));
  }

  private boolean hasMemory(
      EngineModel model,
      Accelerator kind,
      Fleet.Member engine,
      Requirements need,
      int vms,
      long now) {
    LayerRange layers = engine.layers();
    if (layers == null) {
      return false;
    }
    EngineReport report = engine.freshReport(now).orElse(null);
    double perTokenLayer = model.kvBytesPerToken() / model.layers() / MEGA;
    double free = kind.megabytes() - layers.size() * model.layerMegabytes();
    double total = report != null && report.kvTotal() > 0 ? report.kvTotal() : free / perTokenLayer;
    double used = report == null ? 0 : report.kvUsed();
    double unseen = (double) localLoad.unreportedKvTokenLayers(engine.statement().id()) * vms;
    double wanted = (double) (need.promptTokens() + need.answerTokens()) * layers.size();
    return used + unseen + wanted <= total * MAX_PLANNED_KV_SHARE;
  }

  private Optional<List<Hop>> cheapestPath(
      EngineModel model,
      List<Candidate> candidates,
      Map<String, PartialPath> starts,
      Requirements need,
      double remoteHop) {
    NavigableSet<Integer> cuts = new TreeSet<>();
    for (Candidate candidate : candidates) {
      cuts.add(candidate.layers().from());
      cuts.add(candidate.layers().to());
    }
    Map<Integer, Map<String, PartialPath>> best = new HashMap<>();
    best.put(0, starts);
    for (int cut : cuts) {
      Map<String, PartialPath> here = best.get(cut);
      if (here != null && cut < model.layers()) {
        for (Candidate candidate : candidates) {
          if (candidate.layers().from() <= cut && cut < candidate.layers().to()) {
            extend(best, here, cut, candidate, cuts, need, remoteHop);
          }
        }
      }
    }
    Map<String, PartialPath> ends = best.getOrDefault(model.layers(), Map.of());
    return ends.values().stream()
        .min((a, b) -> Double.compare(a.millis(), b.millis()))
        .map(PathPlanner::hops)
        .filter(PathPlanner::hasDistinctTargets);
  }

  /** A path may begin in any data centre; activations only cross from the second engine on. */
  private Map<String, PartialPath> startingPaths(
      List<Candidate> candidates, Requirements need, long now) {
    Map<String, PartialPath> starts = new HashMap<>();
    for (Candidate candidate : candidates) {
      String dataCentre = candidate.member().statement().dataCentre();
      boolean local = dataCentre.equals(need.dataCentre());
      double millis = local ? 0 : REMOTE_START_MILLIS + links.penaltyMillis(dataCentre, now);
      starts.put(dataCentre, new PartialPath(millis, null, null));
    }
    return starts;
  }

  private static void extend(
      Map<Integer, Map<String, PartialPath>> best,
      Map<String, PartialPath> here,
      int cut,
      Candidate candidate,
      NavigableSet<Integer> cuts,
      Requirements need,
      double remoteHop) {
    String to = candidate.member().statement().dataCentre();
    PartialPath before = null;
    double reached = Double.MAX_VALUE;
    for (Map.Entry<String, PartialPath> entry : here.entrySet()) {
      boolean remote = !entry.getKey().equals(to);
      if (remote && cut == 0) {
        // No activations reach a first engine: it has a start of its own.
        continue;
      }
      double hop = remote ? remoteHop : LOCAL_HOP_MILLIS * need.answerTokens();
      double millis = entry.getValue().millis() + hop;
      if (millis < reached) {
        reached = millis;
        before = entry.getValue();
      }
    }
    for (int end : cuts.subSet(cut + 1, candidate.layers().to() + 1)) {
      double millis = reached + candidate.millisPerLayer() * (end - cut);
      Map<String, PartialPath> there = best.computeIfAbsent(end, key -> new HashMap<>());
      PartialPath known = there.get(to);
      if (known == null || millis < known.millis()) {
        Hop last =
            new Hop(
                candidate.member().statement().id(),
                candidate.member().statement().address(),
                to,
                new LayerRange(cut, end));
        there.put(to, new PartialPath(millis, before, last));
      }
    }
  }

  /** Prompts cross one after another, and each token of an answer waits behind them. */
  private static double remoteHopMillis(EngineModel model, Requirements need, double used) {
    double transfer =
        activationBits(model, need.promptTokens())
            / (Math.max(1, model.linkMegabitsPerSecond()) * MEGA)
            * MILLIS_PER_SECOND;
    double u = Math.min(MAX_UTILIZATION, used);
    double wait = transfer * u / (1 - u) / 2;
    return REMOTE_HOP_MILLIS * need.answerTokens()
        + transfer
        + SHARED_DELAY_FACTOR * wait * (1 + need.answerTokens());
  }

  /**
   * Returns how much the activations of some tokens are.
   *
   * @param model how the engines behave
   * @param tokens number of tokens
   */
  public static double activationBits(EngineModel model, int tokens) {
    return tokens * model.activationBytes() * BITS_PER_BYTE;
  }

  private static List<Hop> hops(PartialPath end) {
    List<Hop> hops = new ArrayList<>();
    for (PartialPath at = end; at != null && at.lastHop() != null; at = at.previous()) {
      hops.add(at.lastHop());
    }
    Collections.reverse(hops);
    return hops;
  }

  private static boolean hasDistinctTargets(List<Hop> hops) {
    Set<String> seen = new HashSet<>();
    return hops.stream().allMatch(hop -> seen.add(hop.id()));
  }
}
