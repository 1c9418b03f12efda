package org.clementinesail.core.targets;

import org.jspecify.annotations.Nullable;

/**
 * What a target says of itself when it announces itself.
 *
 * @param name name, unique within the site
 * @param address base URL, such as {@code http://10.0.0.7:9000}
 * @param dataCentre data centre that the target stands in
 * @param serves model or service name
 * @param engine what makes it an engine, or null for a plain service
 */
public record TargetDescription(
    String name, String address, String dataCentre, String serves, @Nullable Engine engine) {

  /**
   * What an engine says beyond that.
   *
   * @param layers layers of the model that it holds
   * @param modelLayers number of layers of the whole model
   * @param partial whether a step may use part of the range
   * @param accelerator accelerator kind
   * @param layersPerSecond layer executions a second for one token, at best
   * @param checksFence whether it refuses orders with an old fencing number
   */
  public record Engine(
      LayerRange layers,
      int modelLayers,
      boolean partial,
      String accelerator,
      double layersPerSecond,
      boolean checksFence) {}
}
