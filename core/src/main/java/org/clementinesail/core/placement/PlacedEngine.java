package org.clementinesail.core.placement;

import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * An engine as the planner sees it.
 *
 * @param id identity of the target
 * @param dataCentre data centre that it stands in
 * @param accelerator its kind
 * @param layers layers that it holds or has been ordered to hold, or null if none
 */
public record PlacedEngine(
    String id, String dataCentre, Accelerator accelerator, @Nullable LayerRange layers) {}
