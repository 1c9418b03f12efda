package org.clementinesail.server.targets;

import java.util.List;
import org.clementinesail.core.pipeline.StepCall;
import org.clementinesail.core.pipeline.StepFailure;
import org.clementinesail.core.pipeline.StepResult;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.TargetDescription;
import org.jspecify.annotations.Nullable;

/** What the server asks of engines; {@link EngineClient} speaks the published HTTP dialect. */
public interface Engines {

  /** What became of a step. */
  sealed interface StepOutcome {
    /**
     * The engine answered.
     *
     * @param result its answer
     * @param computeSeconds time the engine says it spent, 0 if it does not say
     */
    record Completed(StepResult result, double computeSeconds) implements StepOutcome {}

    /**
     * There is no usable answer.
     *
     * @param reason why
     */
    record Failed(StepFailure reason) implements StepOutcome {}
  }

  /**
   * Runs a step and waits for it.
   *
   * @param model model name
   * @param call the step
   * @param newConnection whether to use a connection that has not been used before
   * @throws InterruptedException if the thread is interrupted
   */
  StepOutcome step(String model, StepCall call, boolean newConnection) throws InterruptedException;

  /**
   * Returns whether an engine answers on a new connection.
   *
   * @param target the engine
   */
  boolean responds(TargetDescription target);

  /**
   * Splits a text into tokens.
   *
   * @param target an engine of the model
   * @param model model name
   * @param text the text
   * @return the tokens, or null if the engine does not answer
   */
  @Nullable List<String> tokenize(TargetDescription target, String model, String text);

  /**
   * Tells an engine to drop what it holds for a request; not waited for.
   *
   * @param stage the engine
   * @param requestId id of the request
   */
  void cancel(Stage stage, String requestId);
}
