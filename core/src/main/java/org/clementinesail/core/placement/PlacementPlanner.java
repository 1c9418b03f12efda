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
 * Chooses which layers engines hold, so that each data centre that can runs whole copies of the
 * model by itself.
 *
 * <p>Answers the load of long prompts: each token of a prompt sends its activations over every hop,
 * and hops between data centres share one pipe, so a chain should stay in one data centre.
 *
 * <pre>{@code
 * Map<String, LayerRange> orders = new PlacementPlanner(model).fill(engines);
 * }</pre>
 */
public final class PlacementPlanner {
  /** Weight of what matters first against what breaks ties; above any count of engines. */
  private static final long PRIMARY_WEIGHT = 10_000;

  private final EngineModel model;

  /**
   * Creates a planner.
   *
   * @param model how the engines behave
   */
  public PlacementPlanner(EngineModel model) {
    this.model = model;
  }

  /** How often each cell is held, in one data centre and in all. */
  private static final class Coverage {
    private final LayerBlocks cells;
    private final Map<String, int[]> countsByDataCentre = new HashMap<>();
    private final int[] totalCounts;
    private final Map<String, Integer> capacityByDataCentre = new HashMap<>();

    Coverage(LayerBlocks cells, List<PlacedEngine> engines) {
      this.cells = cells;
      this.totalCounts = new int[cells.blockCount()];
      for (PlacedEngine engine : engines) {
        capacityByDataCentre.merge(
            engine.dataCentre(), cells.capacity(engine.accelerator()), Integer::sum);
        if (engine.layers() != null) {
          add(engine.dataCentre(), engine.layers(), 1);
        }
      }
    }

    int[] countsIn(String dataCentre) {
      return countsByDataCentre.computeIfAbsent(dataCentre, key -> new int[cells.blockCount()]);
    }

    void add(String dataCentre, LayerRange range, int by) {
      int[] local = countsIn(dataCentre);
      for (int cell = 0; cell < totalCounts.length; cell++) {
        if (cells.covers(range, cell)) {
          local[cell] += by;
          totalCounts[cell] += by;
        }
      }
    }

    boolean canHoldModel(String dataCentre) {
      return capacityByDataCentre.getOrDefault(dataCentre, 0) >= cells.blockCount();
    }

    /** Returns how well a cell is held already, from the view of a data centre. */
    long score(String dataCentre, int cell) {
      int local = countsIn(dataCentre)[cell];
      return canHoldModel(dataCentre)
          ? local * PRIMARY_WEIGHT + totalCounts[cell]
          : totalCounts[cell] * PRIMARY_WEIGHT + local;
    }
  }

  /**
   * Returns ranges for the engines that hold nothing.
   *
   * @param engines all engines of the model that take work
   */
  public Map<String, LayerRange> assignIdleEngines(List<PlacedEngine> engines) {
    LayerBlocks cells = cells(engines);
    Coverage coverage = new Coverage(cells, engines);
    Map<String, LayerRange> orders = new LinkedHashMap<>();
    List<PlacedEngine> empty = new ArrayList<>(engines);
    empty.removeIf(e -> e.layers() != null || cells.capacity(e.accelerator()) == 0);
    // Large engines first: they have the fewest places to go, and make the fastest chains.
    empty.sort(
        Comparator.comparingDouble((PlacedEngine e) -> -e.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    for (PlacedEngine engine : empty) {
      LayerRange range = leastCoveredRange(coverage, cells, engine);
      orders.put(engine.id(), range);
      coverage.add(engine.dataCentre(), range, 1);
    }
    return orders;
  }

  /**
   * Returns one engine to move to layers that no engine holds, if some can be spared.
   *
   * @param engines all engines of the model that take work
   */
  public Optional<Map.Entry<String, LayerRange>> planMove(List<PlacedEngine> engines) {
    LayerBlocks cells = cells(engines);
    Coverage coverage = new Coverage(cells, engines);
    List<PlacedEngine> smallestFirst = new ArrayList<>(engines);
    smallestFirst.sort(
        Comparator.comparingDouble((PlacedEngine e) -> e.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    for (PlacedEngine engine : smallestFirst) {
      LayerRange held = engine.layers();
      if (held == null || cells.capacity(engine.accelerator()) == 0) {
        continue;
      }
      coverage.add(engine.dataCentre(), held, -1);
      Optional<LayerRange> better = rangeForMissingLayers(coverage, cells, engine, held);
      coverage.add(engine.dataCentre(), held, 1);
      if (better.isPresent()) {
        return Optional.of(Map.entry(engine.id(), better.get()));
      }
    }
    return Optional.empty();
  }

  /** Returns a range that fills a hole, if the engine leaves none behind where it was. */
  private Optional<LayerRange> rangeForMissingLayers(
      Coverage without, LayerBlocks cells, PlacedEngine engine, LayerRange held) {
    String dataCentre = engine.dataCentre();
    boolean local = without.canHoldModel(dataCentre);
    int[] counts = local ? without.countsIn(dataCentre) : without.totalCounts;
    boolean holeElsewhere = false;
    for (int cell = 0; cell < cells.blockCount(); cell++) {
      if (counts[cell] == 0 && cells.covers(held, cell)) {
        return Optional.empty();
      }
      holeElsewhere |= counts[cell] == 0;
    }
    return holeElsewhere
        ? Optional.of(leastCoveredRange(without, cells, engine))
        : Optional.empty();
  }

  private LayerRange leastCoveredRange(Coverage coverage, LayerBlocks cells, PlacedEngine engine) {
    int width = cells.capacity(engine.accelerator());
    int best = 0;
    long least = Long.MAX_VALUE;
    for (int first = 0; first + width <= cells.blockCount(); first++) {
      long sum = 0;
      for (int cell = first; cell < first + width; cell++) {
        sum += coverage.score(engine.dataCentre(), cell);
      }
      if (sum < least) {
        least = sum;
        best = first;
      }
    }
    return cells.range(best, width);
  }

  private LayerBlocks cells(List<PlacedEngine> engines) {
    List<Accelerator> present = engines.stream().map(PlacedEngine::accelerator).distinct().toList();
    return LayerBlocks.of(model, present);
  }
}
