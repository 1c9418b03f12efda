package org.clementinesail.core.placement;

import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * An engine as input of {@link PlacementPlanner}.
 *
 * @param id identity of the target
 * @param dataCentre data centre of the target
 * @param accelerator its kind of accelerator
 * @param layers layers of its pending order if there is one, else layers that it holds; null if it
 *     holds none
 */
public record PlacedEngine(
    String id, String dataCentre, Accelerator accelerator, @Nullable LayerRange layers) {}
