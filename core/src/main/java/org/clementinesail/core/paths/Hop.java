package org.clementinesail.core.paths;

import org.clementinesail.core.targets.LayerRange;

/**
 * One engine of a path and the layers that it runs for the request.
 *
 * @param id identity of the target
 * @param address IP address and port, such as {@code 10.0.0.7:9000}
 * @param dataCentre data centre in which the engine runs
 * @param layers layers to run, within those that the engine holds
 */
public record Hop(String id, String address, String dataCentre, LayerRange layers) {}
