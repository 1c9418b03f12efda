package org.clementinesail.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetRecord;

/**
 * The engines of one model, grouped by the layer ranges that they can run.
 *
 * <p>A pool is built once for each change of the targets, so that planning a chain visits a few
 * groups instead of every engine.
 */
public final class ModelPool {

  /**
   * Engines that can run the same layers.
   *
   * @param layers layers that each of the engines can run
   * @param targets the engines, at least one
   */
  record Group(LayerRange layers, List<TargetRecord> targets) {}

  private final int modelLayers;
  private final List<Integer> boundaries;
  private final Map<Integer, List<Group>> groupsByStart = new TreeMap<>();
  private final List<TargetRecord> targets;

  /**
   * Groups the engines of a model.
   *
   * @param engines engines of one model that accept new work
   * @throws IllegalArgumentException if a target is a service
   */
  public ModelPool(Collection<TargetRecord> engines) {
    this.targets = List.copyOf(engines);
    this.modelLayers = engines.stream().mapToInt(t -> engine(t).modelLayers()).max().orElse(0);
    TreeSet<Integer> layerBoundaries = new TreeSet<>();
    for (TargetRecord target : engines) {
      layerBoundaries.add(engine(target).layers().from());
      layerBoundaries.add(engine(target).layers().to());
    }
    this.boundaries = List.copyOf(layerBoundaries);
    Map<LayerRange, List<TargetRecord>> byRange = new TreeMap<>(ModelPool::compareRanges);
    for (TargetRecord target : engines) {
      for (LayerRange range : usableRanges(engine(target))) {
        byRange.computeIfAbsent(range, key -> new ArrayList<>()).add(target);
      }
    }
    byRange.forEach(
        (range, members) ->
            groupsByStart
                .computeIfAbsent(range.from(), key -> new ArrayList<>())
                .add(new Group(range, List.copyOf(members))));
  }

  /** Returns the number of layers of the whole model, or 0 for an empty pool. */
  public int modelLayers() {
    return modelLayers;
  }

  /** Returns all engines of the pool, in the order given. */
  public List<TargetRecord> targets() {
    return targets;
  }

  List<Integer> boundaries() {
    return boundaries;
  }

  List<Group> groupsFrom(int layer) {
    return groupsByStart.getOrDefault(layer, List.of());
  }

  private List<LayerRange> usableRanges(TargetDescription.Engine engine) {
    if (!engine.partial()) {
      return List.of(engine.layers());
    }
    List<LayerRange> ranges = new ArrayList<>();
    for (int from : boundaries) {
      for (int to : boundaries) {
        if (from < to && engine.layers().contains(new LayerRange(from, to))) {
          ranges.add(new LayerRange(from, to));
        }
      }
    }
    return ranges;
  }

  static TargetDescription.Engine engine(TargetRecord target) {
    TargetDescription.Engine engine = target.description().engine();
    if (engine == null) {
      throw new IllegalArgumentException(
          target.name() + " is a service; only engines can run layers");
    }
    return engine;
  }

  private static int compareRanges(LayerRange a, LayerRange b) {
    return a.from() != b.from()
        ? Integer.compare(a.from(), b.from())
        : Integer.compare(a.to(), b.to());
  }
}
