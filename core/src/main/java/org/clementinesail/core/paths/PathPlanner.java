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
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Plans the engines that a request passes through: the path over layer boundaries with the least
 * expected time, among engines with enough memory for the request.
 *
 * <p>All VMs see the same engine reports. What the others have sent since follows from the load of
 * all VMs; if that is not known, the requests that this VM has sent are multiplied by the number of
 * VMs. A small random factor keeps the VMs from all choosing the same engine. Only if no path has
 * memory by that estimate, the steady one decides, so that no request is refused for load that may
 * not exist.
 */
public final class PathPlanner {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double BITS_PER_BYTE = 8;
  private static final double MEGA = 1e6;

  /** Delay of a hop within a data centre, in milliseconds per token. */
  private static final double LOCAL_HOP_MILLIS = 0.2;

  /** Delay of a hop between two data centres, in milliseconds per token. */
  private static final double REMOTE_HOP_MILLIS = 0.7;

  /** Limit of the link utilization in the queueing formula, whose result is infinite at 1. */
  private static final double MAX_UTILIZATION = 0.9;

  /** Counts the wait for the link twice: a transfer delays others as much as they delay it. */
  private static final double SHARED_DELAY_FACTOR = 2;

  /**
   * Extra time, in milliseconds, to send the request to a first engine in another data centre and
   * to receive its events.
   */
  private static final double REMOTE_START_MILLIS = 30;

  /** The time of each engine is multiplied by a random factor from 1 to 1 plus this value. */
  private static final double RANDOM_SPREAD = 0.15;

  private final LocalLoad localLoad;
  private final LinkLoad linkLoad;
  private final LinkHealth linkHealth;
  private final Supplier<FleetLoad> fleetLoad;
  private final RandomGenerator random;

  /**
   * The size of a request and its preferred location.
   *
   * @param promptTokens number of prompt tokens
   * @param answerTokens expected number of answer tokens
   * @param dataCentre data centre in which the path preferably starts: the one that the shares
   *     select, or that of this VM
   */
  public record Requirements(int promptTokens, int answerTokens, String dataCentre) {}

  /** An engine with memory for the request, and its expected time per layer for the request. */
  private record Candidate(
      Fleet.Member member, LayerRange layers, double millisPerLayer, boolean mayBeFirst) {}

  /**
   * The cheapest path found so far that ends at a layer boundary, in one data centre.
   *
   * @param millis expected time of the whole path
   * @param previous path without the last hop, or null for an empty path
   * @param lastHop last hop, or null for an empty path
   */
  private record PartialPath(
      double millis, @Nullable PartialPath previous, @Nullable Hop lastHop) {}

  /**
   * Creates a planner.
   *
   * @param localLoad requests of this VM at each target
   * @param linkLoad utilization of the link between data centres
   * @param linkHealth health of the links to other data centres
   * @param random source of the random factors
   */
  public PathPlanner(
      LocalLoad localLoad, LinkLoad linkLoad, LinkHealth linkHealth, RandomGenerator random) {
    this(localLoad, linkLoad, linkHealth, () -> FleetLoad.NONE, random);
  }

  /**
   * Creates a planner.
   *
   * @param localLoad requests of this VM at each target
   * @param linkLoad utilization of the link between data centres
   * @param linkHealth health of the links to other data centres
   * @param fleetLoad supplies the last known load of all VMs
   * @param random source of the random factors
   */
  public PathPlanner(
      LocalLoad localLoad,
      LinkLoad linkLoad,
      LinkHealth linkHealth,
      Supplier<FleetLoad> fleetLoad,
      RandomGenerator random) {
    this.localLoad = localLoad;
    this.linkLoad = linkLoad;
    this.linkHealth = linkHealth;
    this.fleetLoad = fleetLoad;
    this.random = random;
  }

  /**
   * Plans a path over all layers of a model.
   *
   * @param model properties of the engines
   * @param engines engines that accept new work
   * @param requirements size of the request and its preferred location
   * @param excluded identities of targets that must not be used
   * @param notFirst identities of targets that must not get the request as the first of a path
   * @param vms number of VMs that send requests to the engines
   * @param now current time in nanoseconds of this VM's monotonic clock
   * @return the hops in layer order, or empty if no engines with memory for the request cover all
   *     layers
   */
  public Optional<List<Hop>> plan(
      EngineModel model,
      List<Fleet.Member> engines,
      Requirements requirements,
      Set<String> excluded,
      Set<String> notFirst,
      int vms,
      long now) {
    SentLoad sent = new SentLoad(localLoad, fleetLoad.get(), vms, now);
    EngineMemory memory = new EngineMemory(model, localLoad, sent, now);
    int tokens = requirements.promptTokens() + requirements.answerTokens();
    BiPredicate<Fleet.Member, LayerRange> cautious =
        (engine, layers) -> memory.cautious(engine, layers, tokens).fits();
    List<Fleet.Member> usable =
        engines.stream()
            .filter(engine -> !excluded.contains(engine.statement().id()))
            .filter(engine -> !engine.isSuspect(now))
            .toList();
    Optional<List<Hop>> path = plan(model, usable, cautious, requirements, notFirst, sent, now);
    if (path.isPresent()) {
      return path;
    }
    BiPredicate<Fleet.Member, LayerRange> steady =
        (engine, layers) -> memory.steady(engine, layers, tokens).fits();
    return plan(model, usable, steady, requirements, notFirst, sent, now);
  }

  private Optional<List<Hop>> plan(
      EngineModel model,
      List<Fleet.Member> engines,
      BiPredicate<Fleet.Member, LayerRange> admission,
      Requirements requirements,
      Set<String> notFirst,
      SentLoad sent,
      long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (Fleet.Member engine : engines) {
      boolean first = !notFirst.contains(engine.statement().id());
      candidate(model, engine, admission, requirements, first, sent, now)
          .ifPresent(candidates::add);
    }
    double linkUtilization = linkLoad.utilization(model.linkMegabitsPerSecond(), sent.vms(), now);
    Map<String, PartialPath> starts = startingPaths(candidates, requirements, now);
    double hopMillis = remoteHopMillis(model, requirements, linkUtilization);
    return cheapestPath(model, candidates, starts, requirements, hopMillis).map(PathPlanner::hops);
  }

  /**
   * Tells why {@link #plan} finds no path.
   *
   * @param model properties of the engines
   * @param known all engines of the service
   * @param ready identities of those that accept new work
   * @param requirements size of the request
   * @param excluded identities of targets that must not be used
   * @param notFirst identities of targets that must not get the request as the first of a path
   * @param now current time in nanoseconds of this VM's monotonic clock
   * @return the layers that are missing, with the reasons for the engines that hold them
   */
  public String describeGaps(
      EngineModel model,
      List<Fleet.Member> known,
      Set<String> ready,
      Requirements requirements,
      Set<String> excluded,
      Set<String> notFirst,
      long now) {
    EngineMemory memory =
        new EngineMemory(model, localLoad, new SentLoad(localLoad, fleetLoad.get(), 1, now), now);
    int tokens = requirements.promptTokens() + requirements.answerTokens();
    PathGaps gaps = new PathGaps(model.layers(), now, ready, excluded, notFirst);
    for (Fleet.Member member : known) {
      LayerRange layers = member.layers();
      if (layers != null) {
        gaps.add(member, layers, memory.steady(member, layers, tokens));
      }
    }
    return gaps.describe();
  }

  private Optional<Candidate> candidate(
      EngineModel model,
      Fleet.Member engine,
      BiPredicate<Fleet.Member, LayerRange> admission,
      Requirements requirements,
      boolean mayBeFirst,
      SentLoad sent,
      long now) {
    LayerRange layers = engine.layers();
    Accelerator kind = model.accelerator(engine.statement().accelerator()).orElse(null);
    if (layers == null || layers.to() > model.layers() || kind == null) {
      return Optional.empty();
    }
    if (!admission.test(engine, layers)) {
      return Optional.empty();
    }
    double millis = EngineTime.millis(model, kind, engine, requirements, sent, now);
    double randomFactor = 1 + RANDOM_SPREAD * random.nextDouble();
    return Optional.of(
        new Candidate(engine, layers, millis * randomFactor / model.layers(), mayBeFirst));
  }

  private Optional<PartialPath> cheapestPath(
      EngineModel model,
      List<Candidate> candidates,
      Map<String, PartialPath> starts,
      Requirements requirements,
      double remoteHopMillis) {
    NavigableSet<Integer> boundaries = new TreeSet<>();
    for (Candidate candidate : candidates) {
      boundaries.add(candidate.layers().from());
      boundaries.add(candidate.layers().to());
    }
    Map<Integer, Map<String, PartialPath>> best = new HashMap<>();
    best.put(0, starts);
    for (int boundary : boundaries) {
      Map<String, PartialPath> reached = best.get(boundary);
      if (reached != null && boundary < model.layers()) {
        for (Candidate candidate : candidates) {
          if (candidate.layers().from() <= boundary
              && boundary < candidate.layers().to()
              && (boundary > 0 || candidate.mayBeFirst())) {
            extend(best, reached, boundary, candidate, boundaries, requirements, remoteHopMillis);
          }
        }
      }
    }
    Map<String, PartialPath> ends = best.getOrDefault(model.layers(), Map.of());
    return ends.values().stream()
        .min((a, b) -> Double.compare(a.millis(), b.millis()))
        .filter(path -> hasDistinctTargets(hops(path)));
  }

  /**
   * Returns an empty path for each data centre with a candidate. The first hop has no transfer of
   * activations: these are only sent from the second engine on.
   */
  private Map<String, PartialPath> startingPaths(
      List<Candidate> candidates, Requirements requirements, long now) {
    Map<String, PartialPath> starts = new HashMap<>();
    for (Candidate candidate : candidates) {
      String dataCentre = candidate.member().statement().dataCentre();
      boolean local = dataCentre.equals(requirements.dataCentre());
      // The selected data centre may be remote; the link of the own one has no penalty.
      double millis = (local ? 0 : REMOTE_START_MILLIS) + linkHealth.penaltyMillis(dataCentre, now);
      starts.put(dataCentre, new PartialPath(millis, null, null));
    }
    return starts;
  }

  private static void extend(
      Map<Integer, Map<String, PartialPath>> best,
      Map<String, PartialPath> reached,
      int boundary,
      Candidate candidate,
      NavigableSet<Integer> boundaries,
      Requirements requirements,
      double remoteHopMillis) {
    String dataCentre = candidate.member().statement().dataCentre();
    PartialPath previous = null;
    double lowestMillis = Double.MAX_VALUE;
    for (Map.Entry<String, PartialPath> entry : reached.entrySet()) {
      boolean remote = !entry.getKey().equals(dataCentre);
      if (remote && boundary == 0) {
        // A first engine receives no activations; its data centre has its own empty path.
        continue;
      }
      double hopMillis = remote ? remoteHopMillis : LOCAL_HOP_MILLIS * requirements.answerTokens();
      double millis = entry.getValue().millis() + hopMillis;
      if (millis < lowestMillis) {
        lowestMillis = millis;
        previous = entry.getValue();
      }
    }
    for (int end : boundaries.subSet(boundary + 1, candidate.layers().to() + 1)) {
      double millis = lowestMillis + candidate.millisPerLayer() * (end - boundary);
      Map<String, PartialPath> pathsAtEnd = best.computeIfAbsent(end, key -> new HashMap<>());
      PartialPath current = pathsAtEnd.get(dataCentre);
      if (current == null || millis < current.millis()) {
        Hop lastHop =
            new Hop(
                candidate.member().statement().id(),
                candidate.member().statement().address(),
                dataCentre,
                new LayerRange(boundary, end));
        pathsAtEnd.put(dataCentre, new PartialPath(millis, previous, lastHop));
      }
    }
  }

  /**
   * Returns the cost of a hop between data centres for a whole request. The link transfers prompts
   * one after another, and each token of an answer waits behind them; the mean wait is that of an
   * M/D/1 queue.
   */
  private static double remoteHopMillis(
      EngineModel model, Requirements requirements, double linkUtilization) {
    double transferMillis =
        activationBits(model, requirements.promptTokens())
            / (Math.max(1, model.linkMegabitsPerSecond()) * MEGA)
            * MILLIS_PER_SECOND;
    double utilization = Math.min(MAX_UTILIZATION, linkUtilization);
    double waitMillis = transferMillis * utilization / (1 - utilization) / 2;
    return REMOTE_HOP_MILLIS * requirements.answerTokens()
        + transferMillis
        + SHARED_DELAY_FACTOR * waitMillis * (1 + requirements.answerTokens());
  }

  /**
   * Returns the size of the activations that one engine sends to the next, in bits.
   *
   * @param model properties of the engines
   * @param tokens number of tokens that the activations belong to
   */
  public static double activationBits(EngineModel model, int tokens) {
    return tokens * model.activationBytes() * BITS_PER_BYTE;
  }

  private static List<Hop> hops(PartialPath end) {
    List<Hop> hops = new ArrayList<>();
    for (PartialPath path = end; path != null && path.lastHop() != null; path = path.previous()) {
      hops.add(path.lastHop());
    }
    Collections.reverse(hops);
    return hops;
  }

  private static boolean hasDistinctTargets(List<Hop> hops) {
    Set<String> seen = new HashSet<>();
    return hops.stream().allMatch(hop -> seen.add(hop.id()));
  }
}
