package org.clementinesail.core.placement;

import java.util.List;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;

/**
 * A model's layers divided into blocks of nearly equal size. Ranges on all kinds of accelerators
 * consist of whole blocks, so that their boundaries match and one engine can replace another.
 */
final class LayerBlocks {
  /**
   * Weights may use 66% of the memory; the rest holds about as many requests as an engine has
   * slots.
   */
  private static final double WEIGHTS_MEMORY_FRACTION = 0.66;

  private final int layers;
  private final double layerMegabytes;
  private final int blockCount;

  private LayerBlocks(int layers, double layerMegabytes, int blockCount) {
    this.layers = layers;
    this.layerMegabytes = layerMegabytes;
    this.blockCount = blockCount;
  }

  /**
   * Divides a model into blocks that fit the smallest of the given accelerators, ignoring those too
   * small for any layer.
   */
  static LayerBlocks of(EngineModel model, List<Accelerator> accelerators) {
    int fewestUsableLayers =
        accelerators.stream()
            .mapToInt(kind -> usableLayers(kind, model.layerMegabytes()))
            .filter(usable -> usable > 0)
            .min()
            .orElse(model.layers());
    int maxBlockLayers = Math.max(1, Math.min(fewestUsableLayers, model.layers()));
    int blockCount = (model.layers() + maxBlockLayers - 1) / maxBlockLayers;
    return new LayerBlocks(model.layers(), model.layerMegabytes(), blockCount);
  }

  int blockCount() {
    return blockCount;
  }

  /** Returns how many consecutive blocks a kind of accelerator can hold; may be 0. */
  int capacity(Accelerator kind) {
    int usable = usableLayers(kind, layerMegabytes);
    int largestBlock = (layers + blockCount - 1) / blockCount;
    return Math.min(blockCount, usable / largestBlock);
  }

  /** Returns the layers of consecutive blocks. */
  LayerRange range(int firstBlock, int blocks) {
    return new LayerRange(blockStart(firstBlock), blockStart(firstBlock + blocks));
  }

  /** Returns whether a range contains a whole block. */
  boolean covers(LayerRange range, int block) {
    return range.from() <= blockStart(block) && blockStart(block + 1) <= range.to();
  }

  private int blockStart(int block) {
    return (int) ((long) block * layers / blockCount);
  }

  /** Returns how many layers leave memory for requests; at least 1 if the memory holds 2. */
  private static int usableLayers(Accelerator kind, double layerMegabytes) {
    int fitting = kind.maxLayers(layerMegabytes);
    int usable = (int) Math.floor(kind.megabytes() / layerMegabytes * WEIGHTS_MEMORY_FRACTION);
    return Math.min(fitting, Math.max(usable, fitting > 1 ? 1 : 0));
  }
}
