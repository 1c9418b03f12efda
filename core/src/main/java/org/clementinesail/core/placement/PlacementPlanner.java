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

  /** A site's engines change seldom, and one by one; more plans than sites need not be kept. */
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
    for (List<PlacedEngine> site : sites(engines)) {
      if (site.stream().anyMatch(engine -> engine.layers() == null)) {
        orders.putAll(assignSite(site));
      }
    }
    return orders;
  }

  private Map<String, LayerRange> assignSite(List<PlacedEngine> site) {
    Map<String, LayerRange> plan = plan(site);
    boolean allNew = site.stream().allMatch(engine -> engine.layers() == null);
    Map<String, LayerRange> orders = new LinkedHashMap<>(allNew ? plan : Map.of());
    LayerCoverage coverage = coverage(site, orders);
    List<PlacedEngine> unassigned = new ArrayList<>(site);
    unassigned.removeIf(
        engine ->
            engine.layers() != null
                || orders.containsKey(engine.id())
                || estimator.maxLayers(engine.accelerator()) == 0);
    unassigned.sort(
        Comparator.comparingDouble((PlacedEngine engine) -> -engine.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    int usefulConcurrency = usefulConcurrency(coverage(site, plan));
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
    List<List<PlacedEngine>> sites = sites(engines);
    boolean anyComplete = sites.stream().anyMatch(this::canHoldModel);
    boolean needed = false;
    for (List<PlacedEngine> site : sites) {
      // Data centres that cannot hold the model together add to none while others hold it.
      if (anyComplete && !canHoldModel(site)) {
        continue;
      }
      Moves moves = planSiteMoves(site, extent);
      needed |= moves.needed();
      if (!moves.ranges().isEmpty()) {
        return moves;
      }
    }
    return new Moves(needed, Map.of());
  }

  private Moves planSiteMoves(List<PlacedEngine> site, Extent extent) {
    Map<String, LayerRange> plan = plan(site);
    LayerCoverage coverage = coverage(site);
    int useful = usefulConcurrency(coverage(site, plan));
    Optional<LayerRange> gap = coverage.largestGap();
    if (gap.isEmpty() && coverage.minConcurrency() >= useful) {
      return new Moves(false, Map.of());
    }
    if (gap.isPresent()) {
      Optional<Map<String, LayerRange>> spare = spareEngineInto(gap.get(), site, coverage, useful);
      if (spare.isPresent()) {
        return new Moves(true, spare.get());
      }
      Optional<Map<String, LayerRange>> closing = extendNeighbours(gap.get(), site);
      if (closing.isPresent() && coverage(site, closing.get()).minConcurrency() >= useful) {
        return new Moves(true, closing.get());
      }
      if (extent != Extent.NEIGHBOURS && isChain(site)) {
        return new Moves(true, spread(site));
      }
    }
    boolean rebuild = extent == Extent.DATA_CENTRE;
    return new Moves(true, rebuild ? withFewestLoads(plan, site) : Map.of());
  }

  /** Returns whether all engines hold layers and no layer is held twice. */
  private static boolean isChain(List<PlacedEngine> site) {
    if (site.stream().anyMatch(engine -> engine.layers() == null)) {
      return false;
    }
    List<PlacedEngine> chain = inLayerOrder(site);
    for (int i = 1; i < chain.size(); i++) {
      if (held(chain.get(i)).from() < held(chain.get(i - 1)).to()) {
        return false;
      }
    }
    return true;
  }

  private static List<PlacedEngine> inLayerOrder(List<PlacedEngine> site) {
    List<PlacedEngine> chain = new ArrayList<>(site);
    chain.sort(
        Comparator.comparingInt((PlacedEngine e) -> held(e).from())
            .thenComparing(PlacedEngine::id));
    return chain;
  }

  /** Spreads all layers over a chain; each engine keeps its place, and so most of its layers. */
  private Map<String, LayerRange> spread(List<PlacedEngine> site) {
    List<PlacedEngine> chain = inLayerOrder(site);
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

  /** Returns the best ranges for the engines of a site, whatever they hold now. */
  private Map<String, LayerRange> plan(List<PlacedEngine> site) {
    Set<String> ids = site.stream().map(PlacedEngine::id).collect(Collectors.toSet());
    if (plans.size() >= MAX_CACHED_PLANS && !plans.containsKey(ids)) {
      plans.clear();
    }
    return plans.computeIfAbsent(ids, key -> partitioner.assign(site));
  }

  /** Returns the concurrency that a placement must keep up, given the best one for the engines. */
  private static int usefulConcurrency(LayerCoverage best) {
    return (int) (best.minConcurrency() * MIN_USEFUL_SHARE);
  }

  private LayerCoverage coverage(List<PlacedEngine> site) {
    return coverage(site, Map.of());
  }

  /** Returns the coverage once some engines have got new ranges. */
  private LayerCoverage coverage(List<PlacedEngine> site, Map<String, LayerRange> changed) {
    LayerCoverage coverage = new LayerCoverage(model, estimator);
    for (PlacedEngine engine : site) {
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
      LayerRange gap, List<PlacedEngine> site, LayerCoverage coverage, int concurrency) {
    Comparator<PlacedEngine> byLayers =
        Comparator.comparingInt(engine -> -layersOf(gap, engine, concurrency));
    return site.stream()
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
      LayerRange gap, List<PlacedEngine> site) {
    Optional<PlacedEngine> before = widest(site, engine -> endsAt(engine, gap.from()));
    Optional<PlacedEngine> after = widest(site, engine -> startsAt(engine, gap.to()));
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
      long concurrency = coverage(site, moves).minConcurrency();
      if (concurrency > mostConcurrency) {
        mostConcurrency = concurrency;
        best = moves;
      }
    }
    return best.isEmpty() ? Optional.empty() : Optional.of(best);
  }

  private Optional<PlacedEngine> widest(
      List<PlacedEngine> site, Predicate<PlacedEngine> condition) {
    return site.stream()
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
      Map<String, LayerRange> plan, List<PlacedEngine> site) {
    Map<List<String>, List<PlacedEngine>> groups = new HashMap<>();
    for (PlacedEngine engine : site) {
      if (plan.containsKey(engine.id())) {
        groups
            .computeIfAbsent(
                List.of(engine.dataCentre(), engine.accelerator().kind()), key -> new ArrayList<>())
            .add(engine);
      }
    }
    Map<String, LayerRange> moves = new LinkedHashMap<>();
    for (List<PlacedEngine> group : groups.values()) {
      List<LayerRange> ranges = new ArrayList<>();
      group.forEach(engine -> ranges.add(Objects.requireNonNull(plan.get(engine.id()))));
      ranges.sort(Comparator.comparingInt(LayerRange::from).thenComparingInt(LayerRange::to));
      group.sort(
          Comparator.comparingInt(
                  (PlacedEngine e) -> e.layers() == null ? Integer.MAX_VALUE : held(e).from())
              .thenComparing(PlacedEngine::id));
      for (int i = 0; i < group.size(); i++) {
        if (!ranges.get(i).equals(group.get(i).layers())) {
          moves.put(group.get(i).id(), ranges.get(i));
        }
      }
    }
    return moves;
  }

  private boolean canHoldModel(List<PlacedEngine> site) {
    return estimator.canHoldModel(site);
  }

  /**
   * Returns the engines in groups that hold the whole model each: one for each data centre with
   * enough memory, and one for all others.
   */
  private List<List<PlacedEngine>> sites(List<PlacedEngine> engines) {
    Map<String, List<PlacedEngine>> byDataCentre = new TreeMap<>();
    for (PlacedEngine engine : engines) {
      byDataCentre.computeIfAbsent(engine.dataCentre(), key -> new ArrayList<>()).add(engine);
    }
    List<List<PlacedEngine>> sites = new ArrayList<>();
    List<PlacedEngine> shared = new ArrayList<>();
    for (List<PlacedEngine> members : byDataCentre.values()) {
      if (canHoldModel(members)) {
        sites.add(members);
      } else {
        shared.addAll(members);
      }
    }
    if (!shared.isEmpty()) {
      sites.add(shared);
    }
    return sites;
  }
}
