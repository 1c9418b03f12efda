package org.clementinesail.core.routing;

import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;

/**
 * One stage of a chain: a target and the layers that it runs for the request.
 *
 * @param target engine that runs the layers
 * @param layers layers to run, within those that the target holds
 */
public record Stage(TargetDescription target, LayerRange layers) {}
