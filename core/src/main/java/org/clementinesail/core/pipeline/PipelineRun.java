package org.clementinesail.core.pipeline;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * The execution of one model request on a chain of engines.
 *
 * <p>The KV cache of each stage stores the token positions that the stage has run. Each pass runs
 * the positions that are not stored yet through every stage in order, and generates one token. When
 * a stage is replaced, the next pass starts at the first position that the new stage has not
 * stored: earlier stages compute those positions again without storing them twice, and later stages
 * receive only the newest position. Tokens that were already delivered become inputs and are never
 * generated again.
 *
 * <pre>{@code
 * PipelineRun run = new PipelineRun("r1", 32, prompt, 100);
 * run.assignStages(planner.plan(...));
 * while (run.action() instanceof PipelineRun.Action.Step step) {
 *   run.handleResult(client.call(step.call()));
 * }
 * }</pre>
 */
public final class PipelineRun {

  /** What the caller has to do next. */
  public sealed interface Action {
    /**
     * Run a step and pass the outcome to {@link PipelineRun#handleResult} or {@link
     * PipelineRun#handleFailure}.
     *
     * @param call step to run
     */
    record Step(StepCall call) implements Action {}

    /**
     * Plan stages for the layers and pass them to {@link PipelineRun#assignStages}.
     *
     * @param layers layers that have no stage
     */
    record PlanStages(LayerRange layers) implements Action {}

    /** Stop: all tokens are generated or the text has ended. */
    record Finished() implements Action {}
  }

  private static final class StageProgress {
    final Stage stage;
    int storedPositions;

    StageProgress(Stage stage) {
      this.stage = stage;
    }
  }

  private final String requestId;
  private final int modelLayers;
  private final int maxTokens;
  private final int promptTokens;
  private final List<String> tokens;
  private final List<StageProgress> chain = new ArrayList<>();
  private final Set<String> excluded = new HashSet<>();
  private final Set<Stage> usedStages = new LinkedHashSet<>();
  private int attempt = 1;
  private int stageIndex;
  private int firstInputPosition;
  private List<String> inputs = List.of();
  private @Nullable LayerRange missingLayers;
  private boolean endOfText;
  private int staleResults;

  /**
   * Creates a run without stages.
   *
   * @param requestId id of the request
   * @param modelLayers number of layers of the model
   * @param prompt tokens of the prompt, at least one
   * @param maxTokens maximum number of tokens to generate, at least one
   * @throws IllegalArgumentException if the prompt is empty or maxTokens is below 1
   */
  public PipelineRun(String requestId, int modelLayers, List<String> prompt, int maxTokens) {
    if (prompt.isEmpty() || maxTokens < 1) {
      throw new IllegalArgumentException(
          "prompt is empty or maxTokens is below 1; both need at least 1");
    }
    this.requestId = requestId;
    this.modelLayers = modelLayers;
    this.maxTokens = maxTokens;
    this.promptTokens = prompt.size();
    this.tokens = new ArrayList<>(prompt);
    this.missingLayers = new LayerRange(0, modelLayers);
  }

  /** Returns the next action; the same one until its outcome is passed to this run. */
  public Action action() {
    if (endOfText || generatedTokens() >= maxTokens) {
      return new Action.Finished();
    }
    if (missingLayers != null) {
      return new Action.PlanStages(missingLayers);
    }
    StageProgress progress = chain.get(stageIndex);
    boolean last = stageIndex == chain.size() - 1;
    return new Action.Step(
        new StepCall(requestId, attempt, progress.stage, firstInputPosition, inputs, last));
  }

  /** Returns the number of tokens generated so far, without the prompt. */
  public int generatedTokens() {
    return tokens.size() - promptTokens;
  }

  /** Returns the token position that the current pass adds; crashes are recorded by position. */
  public int position() {
    return tokens.size() - 1;
  }

  /** Returns the names of the targets that failed this request. */
  public Set<String> excluded() {
    return Collections.unmodifiableSet(excluded);
  }

  /** Returns all current and former stages, whose targets may hold memory for this request. */
  public Set<Stage> usedStages() {
    return Collections.unmodifiableSet(usedStages);
  }

  /** Returns the number of results ignored because they belonged to another attempt or step. */
  public int staleResults() {
    return staleResults;
  }

  /**
   * Handles the result of the current step; a result of any other step is ignored.
   *
   * @param result result from the target
   * @return the generated token, or null if the step was not the last of its pass or the result was
   *     ignored
   */
  public @Nullable String handleResult(StepResult result) {
    if (!(action() instanceof Action.Step step) || !matches(step.call(), result)) {
      staleResults++;
      return null;
    }
    StageProgress progress = chain.get(stageIndex);
    progress.storedPositions = Math.max(progress.storedPositions, tokens.size());
    if (!step.call().wantsToken()) {
      advance(result.outputs());
      return null;
    }
    String token = result.token();
    if (token == null) {
      throw new IllegalStateException("result of the last stage has no token");
    }
    tokens.add(token);
    endOfText = result.endOfText();
    startPass();
    return token;
  }

  /**
   * Handles a failure of the current step. The stage has to be replaced, unless it only lost the
   * stored positions of the request: then it gets all positions again.
   *
   * @param failure reason of the failure
   */
  public void handleFailure(StepFailure failure) {
    attempt++;
    StageProgress progress = chain.get(stageIndex);
    if (failure == StepFailure.CACHE_LOST && progress.storedPositions > 0) {
      progress.storedPositions = 0;
      startPass();
      return;
    }
    excluded.add(progress.stage.target().name());
    missingLayers = progress.stage.layers();
  }

  /** Removes all stages, for when no engines can replace the missing layers alone. */
  public void restartChain() {
    attempt++;
    chain.clear();
    missingLayers = new LayerRange(0, modelLayers);
  }

  /** Allows failed targets again, for when the others do not cover all layers. */
  public void clearExcluded() {
    excluded.clear();
  }

  /**
   * Assigns stages to the missing layers.
   *
   * @param stages stages that cover the layers of {@link Action.PlanStages}, in order
   * @throws IllegalArgumentException if the stages do not cover the layers exactly
   * @throws IllegalStateException if no layers are missing
   */
  public void assignStages(List<Stage> stages) {
    LayerRange missing = missingLayers;
    if (missing == null) {
      throw new IllegalStateException("no layers are missing; assign stages only after PlanStages");
    }
    requireCoverage(missing, stages);
    chain.removeIf(progress -> missing.contains(progress.stage.layers()));
    int index = 0;
    while (index < chain.size() && chain.get(index).stage.layers().to() <= missing.from()) {
      index++;
    }
    for (Stage stage : stages) {
      chain.add(index++, new StageProgress(stage));
      usedStages.add(stage);
    }
    missingLayers = null;
    startPass();
  }

  private void startPass() {
    stageIndex = 0;
    firstInputPosition = firstMissingPosition(0);
    inputs = List.copyOf(tokens.subList(firstInputPosition, tokens.size()));
  }

  private void advance(List<String> outputs) {
    stageIndex++;
    int position = firstMissingPosition(stageIndex);
    inputs = List.copyOf(outputs.subList(position - firstInputPosition, outputs.size()));
    firstInputPosition = position;
  }

  /**
   * Returns the first position that a stage of the given index or later has not stored, or the
   * newest position if they have stored all.
   */
  private int firstMissingPosition(int from) {
    int position = tokens.size() - 1;
    for (StageProgress progress : chain.subList(from, chain.size())) {
      position = Math.min(position, progress.storedPositions);
    }
    return position;
  }

  private static boolean matches(StepCall call, StepResult result) {
    boolean complete =
        call.wantsToken()
            ? result.token() != null
            : result.outputs().size() == call.inputs().size();
    return call.requestId().equals(result.requestId())
        && call.attempt() == result.attempt()
        && call.firstPosition() == result.firstPosition()
        && complete;
  }

  private static void requireCoverage(LayerRange layers, List<Stage> stages) {
    int layer = layers.from();
    for (Stage stage : stages) {
      if (stage.layers().from() != layer) {
        throw new IllegalArgumentException(
            "stage " + stage.layers() + " does not follow layer " + layer);
      }
      layer = stage.layers().to();
    }
    if (layer != layers.to()) {
      throw new IllegalArgumentException(
          "stages end at layer " + layer + " instead of " + layers.to());
    }
  }
}
