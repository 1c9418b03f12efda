package org.clementinesail.core.paths;

import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.jspecify.annotations.Nullable;

/** Expected time that an engine takes for a request, from its report and what was sent since. */
final class EngineTime {
  /** A token waits on average for half of the pass in progress at an engine, then for its own. */
  private static final double PASSES_PER_STEP = 1.5;

  /** Prompt prefills that each request waiting at an engine adds to the engine's time. */
  private static final double PREFILLS_PER_WAITING_REQUEST = 1.0;

  private static final double MILLIS_PER_SECOND = 1_000;

  private EngineTime() {}

  /** Returns the time over all layers of the model, in milliseconds. */
  static double millis(
      EngineModel model,
      EngineModel.Accelerator kind,
      Fleet.Member engine,
      PathPlanner.Requirements requirements,
      SentLoad sent,
      long now) {
    @Nullable EngineReport report = engine.freshReport(now).orElse(null);
    double unreported = sent.unreported(engine);
    double running = sent.running(engine);
    double waiting = report == null ? 0 : report.waiting();
    double slowdown = report == null ? 1 : Math.max(1, report.slowdown());
    double contextThousands =
        running * (requirements.promptTokens() + requirements.answerTokens()) / 1_000.0;
    double stepMillis =
        kind.stepFactor()
            * (model.stepMillis()
                + model.perRequestMillis() * running
                + model.contextMillisPerThousandTokens() * contextThousands);
    double prefillMillis =
        kind.prefillFactor()
            * requirements.promptTokens()
            / model.prefillTokensPerSecond()
            * MILLIS_PER_SECOND;
    double totalMillis =
        requirements.answerTokens() * stepMillis * PASSES_PER_STEP
            + prefillMillis * (1 + PREFILLS_PER_WAITING_REQUEST * waiting + unreported);
    return totalMillis * slowdown;
  }
}
