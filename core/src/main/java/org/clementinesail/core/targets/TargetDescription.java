package org.clementinesail.core.targets;

import org.jspecify.annotations.Nullable;

/**
 * The properties of a target, as its announcement states them.
 *
 * @param name name of the target, unique within the site
 * @param address base URL, such as {@code http://10.0.0.7:9000}
 * @param dataCentre data centre in which the target runs
 * @param serves name of the model or service that the target serves
 * @param engine properties of an engine, or null if the target is a service
 */
public record TargetDescription(
    String name, String address, String dataCentre, String serves, @Nullable Engine engine) {

  /**
   * The additional properties of an engine.
   *
   * @param layers layers of the model that the engine holds
   * @param modelLayers number of layers of the whole model
   * @param partial whether a step may run only part of the layers
   * @param accelerator kind of accelerator
   * @param layersPerSecond highest rate of layer executions per second for one token
   * @param checksFence whether the engine rejects orders with an outdated fencing number
   */
  public record Engine(
      LayerRange layers,
      int modelLayers,
      boolean partial,
      String accelerator,
      double layersPerSecond,
      boolean checksFence) {}
}
