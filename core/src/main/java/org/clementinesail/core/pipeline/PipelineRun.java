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
 * The course of one request over a chain of engines.
 *
 * <p>Each pass takes the missing positions through every stage in order. When a stage is replaced,
 * the next pass starts at the first position that the new stage lacks: stages before it compute
 * those positions again without storing them, stages after it see only the newest position. Tokens
 * already delivered are inputs from then on and are never generated again.
 *
 * <pre>{@code
 * PipelineRun run = new PipelineRun("r1", 32, prompt, 100);
 * run.useChain(planner.plan(...));
 * while (run.action() instanceof PipelineRun.Action.Step step) {
 *   run.completed(client.call(step.call()));
 * }
 * }</pre>
 */
public final class PipelineRun {

  /** What to do next. */
  public sealed interface Action {
    /**
     * Run a step.
     *
     * @param call the step
     */
    record Step(StepCall call) implements Action {}

    /**
     * Find stages for the layers and hand them to {@link PipelineRun#assignStages}.
     *
     * @param layers the layers that have no stage
     */
    record PlanStages(LayerRange layers) implements Action {}

    /** All tokens are generated. */
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
   * Creates a run without a chain.
   *
   * @param requestId id of the request
   * @param modelLayers layers of the model
   * @param prompt tokens of the prompt, at least one
   * @param maxTokens most tokens to generate, at least one
   */
  public PipelineRun(String requestId, int modelLayers, List<String> prompt, int maxTokens) {
    if (prompt.isEmpty() || maxTokens < 1) {
      throw new IllegalArgumentException("a run needs a prompt and room for one token at least");
    }
    this.requestId = requestId;
    this.modelLayers = modelLayers;
    this.maxTokens = maxTokens;
    this.promptTokens = prompt.size();
    this.tokens = new ArrayList<>(prompt);
    this.missingLayers = new LayerRange(0, modelLayers);
  }

  /** Returns what to do next. */
  public Action action() {
    if (endOfText || generatedTokens() >= maxTokens) {
      return new Action.Finished();
    }
    if (missingLayers != null) {
      return new Action.PlanStages(missingLayers);
    }
    StageProgress slot = chain.get(stageIndex);
    boolean last = stageIndex == chain.size() - 1;
    return new Action.Step(
        new StepCall(requestId, attempt, slot.stage, firstInputPosition, inputs, last));
  }

  /** Returns how many tokens are generated so far. */
  public int generatedTokens() {
    return tokens.size() - promptTokens;
  }

  /** Returns the position that the present pass adds; crashes at one position are compared. */
  public int position() {
    return tokens.size() - 1;
  }

  /** Returns the targets that failed this request. */
  public Set<String> excluded() {
    return Collections.unmodifiableSet(excluded);
  }

  /** Returns every stage that may hold memory for this request, present ones included. */
  public Set<Stage> usedStages() {
    return Collections.unmodifiableSet(usedStages);
  }

  /** Returns how many results were dropped because they belonged to another attempt or step. */
  public int staleResults() {
    return staleResults;
  }

  /**
   * Takes the answer to the present step; an answer to any other step is dropped.
   *
   * @param result the answer
   * @return the token to deliver, or null if there is none yet
   */
  public @Nullable String handleResult(StepResult result) {
    if (!(action() instanceof Action.Step step) || !matches(step.call(), result)) {
      staleResults++;
      return null;
    }
    StageProgress slot = chain.get(stageIndex);
    slot.storedPositions = Math.max(slot.storedPositions, tokens.size());
    if (!step.call().wantsToken()) {
      advance(result.outputs());
      return null;
    }
    String token = result.token();
    if (token == null) {
      throw new IllegalStateException("answers() admits no last stage without a token");
    }
    tokens.add(token);
    endOfText = result.endOfText();
    startPass();
    return token;
  }

  /**
   * Takes the failure of the present step: its stage is given up, or asked again where it only lost
   * its memory of the request.
   *
   * @param failure why the step did not come back
   */
  public void handleFailure(StepFailure failure) {
    attempt++;
    StageProgress slot = chain.get(stageIndex);
    if (failure == StepFailure.CACHE_LOST && slot.storedPositions > 0) {
      slot.storedPositions = 0;
      startPass();
      return;
    }
    excluded.add(slot.stage.target().name());
    missingLayers = slot.stage.layers();
  }

  /** Gives up every stage, for when no engine can stand in for the missing layers alone. */
  public void restartChain() {
    attempt++;
    chain.clear();
    missingLayers = new LayerRange(0, modelLayers);
  }

  /** Allows targets again that failed earlier, for when too few others are left. */
  public void clearExcluded() {
    excluded.clear();
  }

  /**
   * Puts stages where layers have none.
   *
   * @param stages stages that cover the layers named by {@link Action.PlanStages}, in order
   * @throws IllegalArgumentException if they do not cover them exactly
   */
  public void assignStages(List<Stage> stages) {
    LayerRange missing = missingLayers;
    if (missing == null) {
      throw new IllegalStateException("no layers are missing");
    }
    requireCoverage(missing, stages);
    chain.removeIf(slot -> missing.contains(slot.stage.layers()));
    int at = 0;
    while (at < chain.size() && chain.get(at).stage.layers().to() <= missing.from()) {
      at++;
    }
    for (Stage stage : stages) {
      chain.add(at++, new StageProgress(stage));
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
    int needed = firstMissingPosition(stageIndex);
    inputs = List.copyOf(outputs.subList(needed - firstInputPosition, outputs.size()));
    firstInputPosition = needed;
  }

  /** Returns the first position that this stage or a later one lacks; the newest at the most. */
  private int firstMissingPosition(int from) {
    int needed = tokens.size() - 1;
    for (StageProgress slot : chain.subList(from, chain.size())) {
      needed = Math.min(needed, slot.storedPositions);
    }
    return needed;
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
    int at = layers.from();
    for (Stage stage : stages) {
      if (stage.layers().from() != at) {
        throw new IllegalArgumentException(
            "stage " + stage.layers() + " does not follow layer " + at);
      }
      at = stage.layers().to();
    }
    if (at != layers.to()) {
      throw new IllegalArgumentException("stages end at " + at + " instead of " + layers.to());
    }
  }
}
