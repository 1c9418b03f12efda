package org.clementinesail.server.targets;

import java.util.List;
import org.clementinesail.core.pipeline.StepCall;
import org.clementinesail.core.pipeline.StepFailure;
import org.clementinesail.core.pipeline.StepResult;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.TargetDescription;
import org.jspecify.annotations.Nullable;

/** Calls to engines; {@link EngineClient} implements them over HTTP. */
public interface Engines {

  /** Outcome of a step. */
  sealed interface StepOutcome {
    /**
     * The engine returned a result.
     *
     * @param result result of the step
     * @param computeSeconds compute time reported by the engine, or 0 if it reports none
     */
    record Completed(StepResult result, double computeSeconds) implements StepOutcome {}

    /**
     * The engine returned no usable result.
     *
     * @param reason kind of failure
     */
    record Failed(StepFailure reason) implements StepOutcome {}
  }

  /**
   * Runs a step on an engine and waits for its result.
   *
   * @param model name of the model
   * @param call step and the engine to run it
   * @param newConnection whether to open a new connection instead of reusing one
   * @throws InterruptedException if the thread is interrupted
   */
  StepOutcome step(String model, StepCall call, boolean newConnection) throws InterruptedException;

  /**
   * Returns whether an engine responds to a health request on a new connection.
   *
   * @param target engine to probe
   */
  boolean responds(TargetDescription target);

  /**
   * Splits a text into tokens.
   *
   * @param target any engine that serves the model
   * @param model name of the model
   * @param text text to split, such as a prompt
   * @return the tokens, or null if the engine does not respond or returns an error
   */
  @Nullable List<String> tokenize(TargetDescription target, String model, String text);

  /**
   * Tells an engine to drop its state for a request. Does not wait for the response and ignores
   * errors.
   *
   * @param stage stage whose engine is told
   * @param requestId id of the request
   */
  void cancel(Stage stage, String requestId);
}
