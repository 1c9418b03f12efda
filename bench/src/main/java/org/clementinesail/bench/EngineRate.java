package org.clementinesail.bench;

import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetRecord;

/** Rates of engines. */
final class EngineRate {
  private EngineRate() {}

  /** Returns an engine's layers a second. */
  static double layersPerSecond(TargetRecord target) {
    TargetDescription.Engine engine = target.description().engine();
    if (engine == null) {
      throw new IllegalArgumentException(target.name() + " is not an engine");
    }
    return engine.layersPerSecond();
  }
}
