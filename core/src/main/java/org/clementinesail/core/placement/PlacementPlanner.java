package org.clementinesail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
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
  private final EngineModel model;
  private final PipelineEstimator estimator;
  private final PipelinePartitioner partitioner;

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
    Map<String, LayerRange> plan = partitioner.assign(site);
    if (!plan.isEmpty() && site.stream().allMatch(engine -> engine.layers() == null)) {
      return plan;
    }
    LayerCoverage coverage = new LayerCoverage(model, estimator);
    List<PlacedEngine> unassigned = new ArrayList<>();
    for (PlacedEngine engine : site) {
      LayerRange held = engine.layers();
      if (held != null) {
        coverage.add(engine.accelerator(), held);
      } else if (estimator.maxLayers(engine.accelerator()) > 0) {
        unassigned.add(engine);
      }
    }
    unassigned.sort(
        Comparator.comparingDouble((PlacedEngine engine) -> -engine.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    Map<String, LayerRange> orders = new LinkedHashMap<>();
    for (int i = 0; i < unassigned.size(); i++) {
      PlacedEngine engine = unassigned.get(i);
      int maxLayers = estimator.maxLayers(engine.accelerator());
      LayerRange planned = plan.get(engine.id());
      int usual = planned == null ? maxLayers : planned.size();
      boolean last = i == unassigned.size() - 1;
      LayerRange range = coverage.rangeFor(usual, last ? maxLayers : usual);
      coverage.add(engine.accelerator(), range);
      orders.put(engine.id(), range);
    }
    return orders;
  }

  /**
   * Returns the identity and the new range of one engine to move so that missing layers are held.
   * Empty if no layers are missing, or if no engine can take them without leaving its own layers
   * missing.
   *
   * @param engines all engines of the model that take work
   */
  public Optional<Map.Entry<String, LayerRange>> planMove(List<PlacedEngine> engines) {
    for (List<PlacedEngine> site : sites(engines)) {
      LayerCoverage coverage = new LayerCoverage(model, estimator);
      for (PlacedEngine engine : site) {
        LayerRange held = engine.layers();
        if (held != null) {
          coverage.add(engine.accelerator(), held);
        }
      }
      Optional<LayerRange> gap = coverage.largestGap();
      Optional<Map.Entry<String, LayerRange>> move =
          gap.flatMap(missing -> moveInto(missing, site, coverage));
      if (move.isPresent()) {
        return move;
      }
    }
    return Optional.empty();
  }

  /** Moves an engine whose layers others hold too; else extends a neighbour of the gap. */
  private Optional<Map.Entry<String, LayerRange>> moveInto(
      LayerRange gap, List<PlacedEngine> site, LayerCoverage coverage) {
    // Prefers an engine that can hold the whole gap, and of these the smallest.
    Optional<PlacedEngine> donor =
        site.stream()
            .filter(engine -> engine.layers() != null && coverage.isSpare(engine.layers()))
            .min(
                Comparator.comparingInt((PlacedEngine engine) -> -layersOf(gap, engine))
                    .thenComparingDouble(engine -> engine.accelerator().megabytes())
                    .thenComparing(PlacedEngine::id));
    if (donor.isPresent()) {
      PlacedEngine engine = donor.get();
      int size = layersOf(gap, engine);
      return Optional.of(Map.entry(engine.id(), new LayerRange(gap.from(), gap.from() + size)));
    }
    return site.stream()
        .filter(engine -> isNextTo(gap, engine) && spareLayers(engine) > 0)
        .max(Comparator.comparingInt(this::spareLayers).thenComparing(PlacedEngine::id))
        .map(engine -> Map.entry(engine.id(), extended(engine, gap)))
        .or(() -> shiftTowards(gap, site));
  }

  /**
   * Shifts a full neighbour of the gap over it, so that the gap comes next to the nearest engine
   * with memory for more layers. Empty if there is no such engine.
   */
  private Optional<Map.Entry<String, LayerRange>> shiftTowards(
      LayerRange gap, List<PlacedEngine> site) {
    Optional<PlacedEngine> nearest =
        site.stream()
            .filter(engine -> engine.layers() != null && spareLayers(engine) > 0)
            .min(
                Comparator.comparingInt((PlacedEngine engine) -> distance(engine, gap))
                    .thenComparing(PlacedEngine::id));
    if (nearest.isEmpty()) {
      return Optional.empty();
    }
    boolean below = Objects.requireNonNull(nearest.get().layers()).from() < gap.from();
    return site.stream()
        .filter(engine -> isNextTo(gap, engine))
        .filter(engine -> (Objects.requireNonNull(engine.layers()).from() < gap.from()) == below)
        .min(Comparator.comparing(PlacedEngine::id))
        .map(engine -> Map.entry(engine.id(), shifted(engine, gap)));
  }

  private static int distance(PlacedEngine engine, LayerRange gap) {
    LayerRange held = Objects.requireNonNull(engine.layers());
    return Math.max(gap.from() - held.to(), held.from() - gap.to());
  }

  private static LayerRange shifted(PlacedEngine engine, LayerRange gap) {
    LayerRange held = Objects.requireNonNull(engine.layers());
    int layers = held.to() == gap.from() ? gap.size() : -gap.size();
    return new LayerRange(held.from() + layers, held.to() + layers);
  }

  private int layersOf(LayerRange gap, PlacedEngine engine) {
    return Math.min(gap.size(), estimator.maxLayers(engine.accelerator()));
  }

  private static boolean isNextTo(LayerRange gap, PlacedEngine engine) {
    LayerRange held = engine.layers();
    return held != null && (held.to() == gap.from() || held.from() == gap.to());
  }

  private LayerRange extended(PlacedEngine engine, LayerRange gap) {
    LayerRange held = Objects.requireNonNull(engine.layers());
    int added = Math.min(gap.size(), spareLayers(engine));
    return held.to() == gap.from()
        ? new LayerRange(held.from(), held.to() + added)
        : new LayerRange(held.from() - added, held.to());
  }

  private int spareLayers(PlacedEngine engine) {
    LayerRange held = engine.layers();
    return held == null ? 0 : estimator.maxLayers(engine.accelerator()) - held.size();
  }

  /**
   * Returns the engines in groups that hold the whole model each: one for each data centre with
   * enough memory, and one for all others.
   */
  private List<List<PlacedEngine>> sites(List<PlacedEngine> engines) {
    Map<String, List<PlacedEngine>> byDataCentre = new TreeMap<>();
    Map<String, Integer> layers = new HashMap<>();
    for (PlacedEngine engine : engines) {
      byDataCentre.computeIfAbsent(engine.dataCentre(), key -> new ArrayList<>()).add(engine);
      layers.merge(engine.dataCentre(), estimator.maxLayers(engine.accelerator()), Integer::sum);
    }
    List<List<PlacedEngine>> sites = new ArrayList<>();
    List<PlacedEngine> shared = new ArrayList<>();
    byDataCentre.forEach(
        (dataCentre, members) -> {
          if (layers.getOrDefault(dataCentre, 0) >= model.layers()) {
            sites.add(members);
          } else {
            shared.addAll(members);
          }
        });
    if (!shared.isEmpty()) {
      sites.add(shared);
    }
    return sites;
  }
}
