package org.clementinesail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;

/**
 * Chooses which layers engines hold, so that each data centre with enough memory holds complete
 * copies of the model.
 *
 * <p>Long prompts are the reason: each token of a prompt sends its activations over every hop, and
 * hops between two data centres share the bandwidth of one link, so a chain should stay in one data
 * centre.
 *
 * <pre>{@code
 * Map<String, LayerRange> orders = new PlacementPlanner(model).assignLayers(engines);
 * }</pre>
 */
public final class PlacementPlanner {
  /** Weight of the primary criterion relative to the tie-breaker; above any number of engines. */
  private static final long PRIMARY_WEIGHT = 10_000;

  private final EngineModel model;

  /**
   * Creates a planner for one model.
   *
   * @param model layers, memory and speed of the model's engines
   */
  public PlacementPlanner(EngineModel model) {
    this.model = model;
  }

  /** Number of engines that hold each block, in each data centre and in total. */
  private static final class Coverage {
    private final LayerBlocks blocks;
    private final Map<String, int[]> countsByDataCentre = new HashMap<>();
    private final int[] totalCounts;
    private final Map<String, Integer> capacityByDataCentre = new HashMap<>();

    Coverage(LayerBlocks blocks, List<PlacedEngine> engines) {
      this.blocks = blocks;
      this.totalCounts = new int[blocks.blockCount()];
      for (PlacedEngine engine : engines) {
        capacityByDataCentre.merge(
            engine.dataCentre(), blocks.capacity(engine.accelerator()), Integer::sum);
        if (engine.layers() != null) {
          add(engine.dataCentre(), engine.layers(), 1);
        }
      }
    }

    int[] countsIn(String dataCentre) {
      return countsByDataCentre.computeIfAbsent(dataCentre, key -> new int[blocks.blockCount()]);
    }

    void add(String dataCentre, LayerRange range, int delta) {
      int[] local = countsIn(dataCentre);
      for (int block = 0; block < totalCounts.length; block++) {
        if (blocks.covers(range, block)) {
          local[block] += delta;
          totalCounts[block] += delta;
        }
      }
    }

    boolean canHoldModel(String dataCentre) {
      return capacityByDataCentre.getOrDefault(dataCentre, 0) >= blocks.blockCount();
    }

    /**
     * Returns a score that rises with the number of copies of a block. Copies in the data centre
     * count first if it can hold the whole model, else all copies count first.
     */
    long score(String dataCentre, int block) {
      int local = countsIn(dataCentre)[block];
      return canHoldModel(dataCentre)
          ? local * PRIMARY_WEIGHT + totalCounts[block]
          : totalCounts[block] * PRIMARY_WEIGHT + local;
    }
  }

  /**
   * Returns ranges, by target identity, for the engines that hold no layers. Engines with too
   * little memory for one block get none.
   *
   * @param engines all engines of the model that take work
   */
  public Map<String, LayerRange> assignLayers(List<PlacedEngine> engines) {
    LayerBlocks blocks = blocks(engines);
    Coverage coverage = new Coverage(blocks, engines);
    Map<String, LayerRange> orders = new LinkedHashMap<>();
    List<PlacedEngine> unassigned = new ArrayList<>(engines);
    unassigned.removeIf(e -> e.layers() != null || blocks.capacity(e.accelerator()) == 0);
    // Large engines first: they have the fewest possible ranges and form the fastest chains.
    unassigned.sort(
        Comparator.comparingDouble((PlacedEngine e) -> -e.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    for (PlacedEngine engine : unassigned) {
      LayerRange range = leastCoveredRange(coverage, blocks, engine);
      orders.put(engine.id(), range);
      coverage.add(engine.dataCentre(), range, 1);
    }
    return orders;
  }

  /**
   * Returns the identity and the new range of one engine to move so that missing layers are held.
   * Empty if no layers are missing, or if no engine can move without leaving its own layers
   * missing.
   *
   * @param engines all engines of the model that take work
   */
  public Optional<Map.Entry<String, LayerRange>> planMove(List<PlacedEngine> engines) {
    LayerBlocks blocks = blocks(engines);
    Coverage coverage = new Coverage(blocks, engines);
    List<PlacedEngine> smallestFirst = new ArrayList<>(engines);
    smallestFirst.sort(
        Comparator.comparingDouble((PlacedEngine e) -> e.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    for (PlacedEngine engine : smallestFirst) {
      LayerRange held = engine.layers();
      if (held == null || blocks.capacity(engine.accelerator()) == 0) {
        continue;
      }
      coverage.add(engine.dataCentre(), held, -1);
      Optional<LayerRange> newRange = rangeForMissingLayers(coverage, blocks, engine, held);
      coverage.add(engine.dataCentre(), held, 1);
      if (newRange.isPresent()) {
        return Optional.of(Map.entry(engine.id(), newRange.get()));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns a range with missing layers for an engine, or empty if no layers are missing or its
   * present layers would be missing after the move. The coverage must not include the engine.
   */
  private Optional<LayerRange> rangeForMissingLayers(
      Coverage coverage, LayerBlocks blocks, PlacedEngine engine, LayerRange held) {
    String dataCentre = engine.dataCentre();
    boolean local = coverage.canHoldModel(dataCentre);
    int[] counts = local ? coverage.countsIn(dataCentre) : coverage.totalCounts;
    boolean layersMissing = false;
    for (int block = 0; block < blocks.blockCount(); block++) {
      if (counts[block] == 0 && blocks.covers(held, block)) {
        return Optional.empty();
      }
      layersMissing |= counts[block] == 0;
    }
    return layersMissing
        ? Optional.of(leastCoveredRange(coverage, blocks, engine))
        : Optional.empty();
  }

  private LayerRange leastCoveredRange(Coverage coverage, LayerBlocks blocks, PlacedEngine engine) {
    int width = blocks.capacity(engine.accelerator());
    int best = 0;
    long least = Long.MAX_VALUE;
    for (int first = 0; first + width <= blocks.blockCount(); first++) {
      long sum = 0;
      for (int block = first; block < first + width; block++) {
        sum += coverage.score(engine.dataCentre(), block);
      }
      if (sum < least) {
        least = sum;
        best = first;
      }
    }
    return blocks.range(best, width);
  }

  private LayerBlocks blocks(List<PlacedEngine> engines) {
    List<Accelerator> accelerators =
        engines.stream().map(PlacedEngine::accelerator).distinct().toList();
    return LayerBlocks.of(model, accelerators);
  }
}
