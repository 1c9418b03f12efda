package org.clementinesail.core.paths;

import org.clementinesail.core.targets.LayerRange;

/**
 * One engine of a path and the layers that it runs.
 *
 * @param id identity of the target
 * @param address its IP number and port
 * @param dataCentre data centre that it stands in
 * @param layers layers that it runs
 */
public record Hop(String id, String address, String dataCentre, LayerRange layers) {}
