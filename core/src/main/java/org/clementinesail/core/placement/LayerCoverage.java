package org.clementinesail.core.placement;

import java.util.Arrays;
import java.util.Optional;
import java.util.TreeSet;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;

/** The engines that hold each layer, and for how many requests they have memory. */
final class LayerCoverage {
  private final PipelineEstimator estimator;
  private final int[] holders;
  private final long[] concurrency;
  private final TreeSet<Integer> boundaries = new TreeSet<>();

  LayerCoverage(EngineModel model, PipelineEstimator estimator) {
    this.estimator = estimator;
    this.holders = new int[model.layers()];
    this.concurrency = new long[model.layers()];
  }

  void add(Accelerator kind, LayerRange range) {
    int requests = estimator.concurrency(kind, range.size());
    for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
      holders[layer]++;
      concurrency[layer] += requests;
    }
    boundaries.add(range.from());
    boundaries.add(range.to());
  }

  /** Returns how many requests the holders of the thinnest layer have memory for; 0 with a gap. */
  long minConcurrency() {
    return Arrays.stream(concurrency).min().orElse(0);
  }

  /** Returns whether other engines hold all layers of a range that was added. */
  boolean isSpare(LayerRange range) {
    for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
      if (holders[layer] < 2) {
        return false;
      }
    }
    return true;
  }

  /** Returns the longest run of layers that no engine holds; empty if all are held. */
  Optional<LayerRange> largestGap() {
    LayerRange largest = null;
    int from = 0;
    for (int layer = 0; layer <= holders.length; layer++) {
      if (layer == holders.length || holders[layer] > 0) {
        if (layer > from && (largest == null || layer - from > largest.size())) {
          largest = new LayerRange(from, layer);
        }
        from = layer + 1;
      }
    }
    return Optional.ofNullable(largest);
  }

  /**
   * Returns the range for another engine: missing layers first, else those whose holders have
   * memory for the fewest requests, beginning where another range begins or ends.
   *
   * @param usualLayers layers that the engine should hold
   * @param maxLayers layers that it may hold to close a gap
   */
  LayerRange rangeFor(int usualLayers, int maxLayers) {
    Optional<LayerRange> gap = largestGap();
    if (gap.isPresent()) {
      LayerRange missing = gap.get();
      int size = missing.size() <= maxLayers ? missing.size() : usualLayers;
      return new LayerRange(missing.from(), missing.from() + size);
    }
    int size = Math.min(usualLayers, holders.length);
    TreeSet<Integer> candidates = new TreeSet<>(boundaries.headSet(holders.length - size, true));
    candidates.add(holders.length - size);
    int best = holders.length - size;
    long fewest = Long.MAX_VALUE;
    for (int start : candidates) {
      long sum = 0;
      for (int layer = start; layer < start + size; layer++) {
        sum += concurrency[layer];
      }
      if (sum < fewest) {
        fewest = sum;
        best = start;
      }
    }
    return new LayerRange(best, best + size);
  }
}
