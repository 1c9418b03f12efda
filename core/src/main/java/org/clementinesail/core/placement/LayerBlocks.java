package org.clementinesail.core.placement;

import java.util.List;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;

/**
 * A model's layers cut into cells, so that ranges on all kinds of accelerators share their cut
 * points and one engine can stand in for another.
 */
final class LayerBlocks {
  /** Share of memory for weights; the rest holds about as many requests as an engine has slots. */
  private static final double WEIGHTS_MEMORY_FRACTION = 0.66;

  private final int layers;
  private final double layerMegabytes;
  private final int blockCount;

  private LayerBlocks(int layers, double layerMegabytes, int count) {
    this.layers = layers;
    this.layerMegabytes = layerMegabytes;
    this.blockCount = count;
  }

  /** Cuts a model so that the smallest of the kinds present holds one cell. */
  static LayerBlocks of(EngineModel model, List<Accelerator> present) {
    int smallest =
        present.stream()
            .mapToInt(kind -> usableLayers(kind, model.layerMegabytes()))
            .filter(usable -> usable > 0)
            .min()
            .orElse(model.layers());
    int size = Math.max(1, Math.min(smallest, model.layers()));
    int count = (model.layers() + size - 1) / size;
    return new LayerBlocks(model.layers(), model.layerMegabytes(), count);
  }

  int blockCount() {
    return blockCount;
  }

  /** Returns how many consecutive cells a kind of accelerator can hold; 0 if not even one. */
  int capacity(Accelerator kind) {
    int usable = usableLayers(kind, layerMegabytes);
    int largestCell = (layers + blockCount - 1) / blockCount;
    return Math.min(blockCount, usable / largestCell);
  }

  /** Returns the layers of a run of cells. */
  LayerRange range(int firstCell, int cells) {
    return new LayerRange(blockStart(firstCell), blockStart(firstCell + cells));
  }

  /** Returns whether a range holds a whole cell. */
  boolean covers(LayerRange range, int cell) {
    return range.from() <= blockStart(cell) && blockStart(cell + 1) <= range.to();
  }

  private int blockStart(int cell) {
    return (int) ((long) cell * layers / blockCount);
  }

  private static int usableLayers(Accelerator kind, double layerMegabytes) {
    int most = kind.maxLayers(layerMegabytes);
    int usable = (int) Math.floor(kind.megabytes() / layerMegabytes * WEIGHTS_MEMORY_FRACTION);
    return Math.min(most, Math.max(usable, most > 1 ? 1 : 0));
  }
}
