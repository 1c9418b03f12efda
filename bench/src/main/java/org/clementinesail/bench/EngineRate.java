package org.clementinesail.bench;

import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetRecord;

/** Reads the rate that an engine announces, in layers per second. */
final class EngineRate {
  private EngineRate() {}

  /** Returns the announced layers per second; throws for a target that is not an engine. */
  static double layersPerSecond(TargetRecord target) {
    TargetDescription.Engine engine = target.description().engine();
    if (engine == null) {
      throw new IllegalArgumentException(target.name() + " is not an engine");
    }
    return engine.layersPerSecond();
  }
}
