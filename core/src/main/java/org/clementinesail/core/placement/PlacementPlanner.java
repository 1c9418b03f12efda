package org.clementinesail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.targets.LayerRange;

/**
 * Chooses which layers engines hold, so that each data centre with enough memory holds the whole
 * model, once or several times.
 *
 * <p>Long prompts are the reason: each token of a prompt sends its activations over every hop, and
 * hops between two data centres share the bandwidth of one link, so a path should stay in one data
 * centre. Data centres with too little memory hold the model together.
 *
 * <pre>{@code
 * Map<String, LayerRange> orders = new PlacementPlanner(model).assignLayers(engines);
 * }</pre>
 */
public final class PlacementPlanner {
  /**
   * Share of the best possible concurrency below which a placement is changed: a change costs loads
   * of weights, and some seconds in which the layers that move take no new requests.
   */
  private static final double MIN_USEFUL_SHARE = 0.5;

  /** Most plans kept: engines join and leave one by one, so only the newest ones are needed. */
  private static final int MAX_CACHED_PLANS = 64;

  private final EngineModel model;
  private final PipelineEstimator estimator;
  private final PipelinePartitioner partitioner;
  private final Map<Set<String>, Map<String, LayerRange>> plans = new HashMap<>();

  /** How many engines may be moved: the more, the longer their layers take no new requests. */
  public enum Extent {
    /** Spare engines, and those next to missing layers. */
    NEIGHBOURS,
    /** All engines of a data centre that holds each layer once, by a few layers each. */
    CHAIN,
    /** All engines of a data centre, to the best placement for them. */
    DATA_CENTRE
  }

  /**
   * Engines that should hold other layers.
   *
   * @param needed whether layers are missing or held with too little memory
   * @param ranges new ranges by target identity; empty if nothing helps, or not yet
   */
  public record Moves(boolean needed, Map<String, LayerRange> ranges) {}

  /**
   * Creates a planner for one model.
   *
   * @param model layers, memory and speed of the model's engines
   */
  public PlacementPlanner(EngineModel model) {
    this.model = model;
    this.estimator = new PipelineEstimator(model);
    this.partitioner = new PipelinePartitioner(model, estimator);
  }

  /** Returns the model that the planner was created for. */
  public EngineModel model() {
    return model;
  }

  /**
   * Returns ranges, by target identity, for the engines that hold no layers. Engines with too
   * little memory for a layer and requests get none.
   *
   * @param engines all engines of the model that take work
   */
  public Map<String, LayerRange> assignLayers(List<PlacedEngine> engines) {
    Map<String, LayerRange> orders = new LinkedHashMap<>();
    for (List<PlacedEngine> group : groups(engines)) {
      if (group.stream().anyMatch(engine -> engine.layers() == null)) {
        orders.putAll(assignGroup(group));
      }
    }
    return orders;
  }

  private Map<String, LayerRange> assignGroup(List<PlacedEngine> group) {
    Map<String, LayerRange> plan = plan(group);
    boolean allNew = group.stream().allMatch(engine -> engine.layers() == null);
    Map<String, LayerRange> orders = new LinkedHashMap<>(allNew ? plan : Map.of());
    LayerCoverage coverage = coverage(group, orders);
    List<PlacedEngine> unassigned = new ArrayList<>(group);
    unassigned.removeIf(
        engine ->
            engine.layers() != null
                || orders.containsKey(engine.id())
                || estimator.maxLayers(engine.accelerator()) == 0);
    unassigned.sort(
        Comparator.comparingDouble((PlacedEngine engine) -> -engine.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    int usefulConcurrency = usefulConcurrency(coverage(group, plan));
    for (PlacedEngine engine : unassigned) {
      LayerRange planned = plan.get(engine.id());
      int usual = planned == null ? estimator.balancedLayers(engine.accelerator()) : planned.size();
      int most = estimator.layersBeside(engine.accelerator(), usefulConcurrency);
      LayerRange range = coverage.rangeFor(usual, Math.max(usual, most));
      coverage.add(engine.accelerator(), range);
      orders.put(engine.id(), range);
    }
    return orders;
  }

  /**
   * Returns new ranges for engines if layers are missing or held with too little memory for
   * requests: first by moves that leave nothing else missing, and if these do not help, by moves of
   * more engines.
   *
   * @param engines all engines of the model that take work
   * @param extent how many engines may be moved
   */
  public Moves planMoves(List<PlacedEngine> engines, Extent extent) {
    List<List<PlacedEngine>> groups = groups(engines);
    boolean anyComplete = groups.stream().anyMatch(this::canHoldModel);
    boolean needed = false;
    for (List<PlacedEngine> group : groups) {
      // Data centres that cannot hold the model together add to none while others hold it.
      if (anyComplete && !canHoldModel(group)) {
        continue;
      }
      Moves moves = planGroupMoves(group, extent);
      needed |= moves.needed();
      if (!moves.ranges().isEmpty()) {
        return moves;
      }
    }
    return new Moves(needed, Map.of());
  }

  private Moves planGroupMoves(List<PlacedEngine> group, Extent extent) {
    Map<String, LayerRange> plan = plan(group);
    LayerCoverage coverage = coverage(group);
    int useful = usefulConcurrency(coverage(group, plan));
    Optional<LayerRange> gap = coverage.largestGap();
    if (gap.isEmpty() && coverage.minConcurrency() >= useful) {
      return new Moves(false, Map.of());
    }
    if (gap.isPresent()) {
      Optional<Map<String, LayerRange>> spare = spareEngineInto(gap.get(), group, coverage, useful);
      if (spare.isPresent()) {
        return new Moves(true, spare.get());
      }
      Optional<Map<String, LayerRange>> closing = extendNeighbours(gap.get(), group);
      if (closing.isPresent() && coverage(group, closing.get()).minConcurrency() >= useful) {
        return new Moves(true, closing.get());
      }
      if (extent != Extent.NEIGHBOURS && isChain(group)) {
        return new Moves(true, spread(group));
      }
    }
    boolean rebuild = extent == Extent.DATA_CENTRE;
    return new Moves(true, rebuild ? withFewestLoads(plan, group) : Map.of());
  }

  /** Returns whether all engines hold layers and no layer is held twice. */
  private static boolean isChain(List<PlacedEngine> group) {
    if (group.stream().anyMatch(engine -> engine.layers() == null)) {
      return false;
    }
    List<PlacedEngine> chain = inLayerOrder(group);
    for (int i = 1; i < chain.size(); i++) {
      if (held(chain.get(i)).from() < held(chain.get(i - 1)).to()) {
        return false;
      }
    }
    return true;
  }

  private static List<PlacedEngine> inLayerOrder(List<PlacedEngine> group) {
    List<PlacedEngine> chain = new ArrayList<>(group);
    chain.sort(
        Comparator.comparingInt((PlacedEngine e) -> held(e).from())
            .thenComparing(PlacedEngine::id));
    return chain;
  }

  /** Spreads all layers over a chain; each engine keeps its place, and so most of its layers. */
  private Map<String, LayerRange> spread(List<PlacedEngine> group) {
    List<PlacedEngine> chain = inLayerOrder(group);
    if (!estimator.canHoldModel(chain)) {
      return Map.of();
    }
    Map<String, LayerRange> moves = new LinkedHashMap<>();
    partitioner
        .ranges(chain)
        .forEach(
            (id, range) -> {
              if (chain.stream().noneMatch(e -> e.id().equals(id) && range.equals(e.layers()))) {
                moves.put(id, range);
              }
            });
    return moves;
  }

  /** Returns the best ranges for the engines of a group, whatever they hold now. */
  private Map<String, LayerRange> plan(List<PlacedEngine> group) {
    Set<String> ids = group.stream().map(PlacedEngine::id).collect(Collectors.toSet());
    if (plans.size() >= MAX_CACHED_PLANS && !plans.containsKey(ids)) {
      plans.clear();
    }
    return plans.computeIfAbsent(ids, key -> partitioner.assign(group));
  }

  /** Returns the concurrency that a placement must keep up, given the best one for the engines. */
  private static int usefulConcurrency(LayerCoverage best) {
    return (int) (best.minConcurrency() * MIN_USEFUL_SHARE);
  }

  private LayerCoverage coverage(List<PlacedEngine> group) {
    return coverage(group, Map.of());
  }

  /** Returns the coverage once some engines have got new ranges. */
  private LayerCoverage coverage(List<PlacedEngine> group, Map<String, LayerRange> changed) {
    LayerCoverage coverage = new LayerCoverage(model, estimator);
    for (PlacedEngine engine : group) {
      LayerRange range = changed.getOrDefault(engine.id(), engine.layers());
      if (range != null) {
        coverage.add(engine.accelerator(), range);
      }
    }
    return coverage;
  }

  /**
   * Moves an engine whose layers others hold too; prefers one that can hold the whole gap, and of
   * these the smallest.
   */
  private Optional<Map<String, LayerRange>> spareEngineInto(
      LayerRange gap, List<PlacedEngine> group, LayerCoverage coverage, int concurrency) {
    Comparator<PlacedEngine> byLayers =
        Comparator.comparingInt(engine -> -layersOf(gap, engine, concurrency));
    return group.stream()
        .filter(engine -> engine.layers() != null && coverage.isSpare(engine.layers()))
        .filter(engine -> layersOf(gap, engine, concurrency) > 0)
        .min(
            byLayers
                .thenComparingDouble(engine -> engine.accelerator().megabytes())
                .thenComparing(PlacedEngine::id))
        .map(
            engine -> {
              int end = gap.from() + layersOf(gap, engine, concurrency);
              return Map.of(engine.id(), new LayerRange(gap.from(), end));
            });
  }

  private int layersOf(LayerRange gap, PlacedEngine engine, int concurrency) {
    return Math.min(gap.size(), estimator.layersBeside(engine.accelerator(), concurrency));
  }

  /** Divides the gap between the engines before and after it, so that both keep most memory. */
  private Optional<Map<String, LayerRange>> extendNeighbours(
      LayerRange gap, List<PlacedEngine> group) {
    Optional<PlacedEngine> before = widest(group, engine -> endsAt(engine, gap.from()));
    Optional<PlacedEngine> after = widest(group, engine -> startsAt(engine, gap.to()));
    Map<String, LayerRange> best = Map.of();
    long mostConcurrency = 0;
    for (int cut = gap.from(); cut <= gap.to(); cut++) {
      Map<String, LayerRange> moves = new LinkedHashMap<>();
      int end = cut;
      if (cut > gap.from()) {
        before.ifPresent(e -> moves.put(e.id(), new LayerRange(held(e).from(), end)));
      }
      if (cut < gap.to()) {
        after.ifPresent(e -> moves.put(e.id(), new LayerRange(end, held(e).to())));
      }
      long concurrency = coverage(group, moves).minConcurrency();
      if (concurrency > mostConcurrency) {
        mostConcurrency = concurrency;
        best = moves;
      }
    }
    return best.isEmpty() ? Optional.empty() : Optional.of(best);
  }

  private Optional<PlacedEngine> widest(
      List<PlacedEngine> group, Predicate<PlacedEngine> condition) {
    return group.stream()
        .filter(engine -> engine.layers() != null && condition.test(engine))
        .max(
            Comparator.comparingInt(
                    (PlacedEngine e) -> estimator.maxLayers(e.accelerator()) - held(e).size())
                .thenComparing(PlacedEngine::id));
  }

  private static boolean endsAt(PlacedEngine engine, int layer) {
    return held(engine).to() == layer;
  }

  private static boolean startsAt(PlacedEngine engine, int layer) {
    return held(engine).from() == layer;
  }

  private static LayerRange held(PlacedEngine engine) {
    return Objects.requireNonNull(engine.layers());
  }

  /**
   * Gives the ranges of a plan to engines of the same kind in the order of the layers that they
   * hold, so that most keep most of their layers. Returns only the ranges that change.
   */
  private static Map<String, LayerRange> withFewestLoads(
      Map<String, LayerRange> plan, List<PlacedEngine> group) {
    Map<List<String>, List<PlacedEngine>> byKind = new HashMap<>();
    for (PlacedEngine engine : group) {
      if (plan.containsKey(engine.id())) {
        byKind
            .computeIfAbsent(
                List.of(engine.dataCentre(), engine.accelerator().kind()), key -> new ArrayList<>())
            .add(engine);
      }
    }
    Map<String, LayerRange> moves = new LinkedHashMap<>();
    for (List<PlacedEngine> sameKind : byKind.values()) {
      List<LayerRange> ranges = new ArrayList<>();
      sameKind.forEach(engine -> ranges.add(Objects.requireNonNull(plan.get(engine.id()))));
      ranges.sort(Comparator.comparingInt(LayerRange::from).thenComparingInt(LayerRange::to));
      sameKind.sort(
          Comparator.comparingInt(
                  (PlacedEngine e) -> e.layers() == null ? Integer.MAX_VALUE : held(e).from())
              .thenComparing(PlacedEngine::id));
      for (int i = 0; i < sameKind.size(); i++) {
        if (!ranges.get(i).equals(sameKind.get(i).layers())) {
          moves.put(sameKind.get(i).id(), ranges.get(i));
        }
      }
    }
    return moves;
  }

  private boolean canHoldModel(List<PlacedEngine> group) {
    return estimator.canHoldModel(group);
  }

  /**
   * Returns the engines in groups that hold the whole model each: one for each data centre with
   * enough memory, and one for all others.
   */
  private List<List<PlacedEngine>> groups(List<PlacedEngine> engines) {
    Map<String, List<PlacedEngine>> byDataCentre = new TreeMap<>();
    for (PlacedEngine engine : engines) {
      byDataCentre.computeIfAbsent(engine.dataCentre(), key -> new ArrayList<>()).add(engine);
    }
    List<List<PlacedEngine>> groups = new ArrayList<>();
    List<PlacedEngine> shared = new ArrayList<>();
    for (List<PlacedEngine> members : byDataCentre.values()) {
      if (canHoldModel(members)) {
        groups.add(members);
      } else {
        shared.addAll(members);
      }
    }
    if (!shared.isEmpty()) {
      groups.add(shared);
    }
    return groups;
  }
}
