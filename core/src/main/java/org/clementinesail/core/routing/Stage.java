package org.clementinesail.core.routing;

import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;

/**
 * One stage of a chain: a target and the layers it runs there.
 *
 * @param target the target
 * @param layers the layers that this stage runs, within those the target holds
 */
public record Stage(TargetDescription target, LayerRange layers) {}
