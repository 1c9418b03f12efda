package org.clementinesail.core.placement;

import java.util.List;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;

/**
 * A model of 80 layers and five kinds of accelerators; the first three have the sizes found at
 * users' sites.
 */
public final class TestModels {
  /** Accelerator that holds 41 layers. */
  public static final Accelerator LARGE = new Accelerator("large", 72_000, 2.4, 3.2);

  /** Accelerator that holds 24 layers. */
  public static final Accelerator MIDDLE = new Accelerator("middle", 43_200, 5.6, 2.7);

  /** Accelerator that holds 12 layers. */
  public static final Accelerator SMALL = new Accelerator("small", 21_600, 16, 8.2);

  /** Accelerator that holds the whole model, as fast as {@link #LARGE}. */
  public static final Accelerator WHOLE = new Accelerator("whole", 300_000, 2.4, 3.2);

  /** Accelerator that holds the whole model, as slow as {@link #SMALL}. */
  public static final Accelerator SLOW_WHOLE = new Accelerator("slow-whole", 300_000, 16, 8.2);

  /** Model of 80 layers, each of 1,750 MB. */
  public static final EngineModel MODEL =
      new EngineModel(
          134,
          80,
          1_750,
          1_315_343,
          1.02,
          0.0102,
          0.0137,
          105_000,
          65_767,
          18_000,
          774,
          203,
          List.of(LARGE, MIDDLE, SMALL, WHOLE, SLOW_WHOLE));

  private TestModels() {}
}
