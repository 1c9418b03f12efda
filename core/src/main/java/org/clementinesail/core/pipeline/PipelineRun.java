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
     * Find stages for the layers and hand them to {@link PipelineRun#useReplacement}.
     *
     * @param layers the layers that have no stage
     */
    record Replace(LayerRange layers) implements Action {}

    /** All tokens are generated. */
    record Finished() implements Action {}
  }

  private static final class Slot {
    final Stage stage;
    int held;

    Slot(Stage stage) {
      this.stage = stage;
    }
  }

  private final String requestId;
  private final int modelLayers;
  private final int maxTokens;
  private final int promptTokens;
  private final List<String> tokens;
  private final List<Slot> slots = new ArrayList<>();
  private final Set<String> excluded = new HashSet<>();
  private final Set<Stage> used = new LinkedHashSet<>();
  private int attempt = 1;
  private int next;
  private int inputStart;
  private List<String> inputs = List.of();
  private @Nullable LayerRange gap;
  private boolean ended;
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
    this.gap = new LayerRange(0, modelLayers);
  }

  /** Returns what to do next. */
  public Action action() {
    if (ended || generated() >= maxTokens) {
      return new Action.Finished();
    }
    if (gap != null) {
      return new Action.Replace(gap);
    }
    Slot slot = slots.get(next);
    boolean last = next == slots.size() - 1;
    return new Action.Step(new StepCall(requestId, attempt, slot.stage, inputStart, inputs, last));
  }

  /** Returns how many tokens are generated so far. */
  public int generated() {
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
  public Set<Stage> stagesUsed() {
    return Collections.unmodifiableSet(used);
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
  public @Nullable String completed(StepResult result) {
    if (!(action() instanceof Action.Step step) || !answers(step.call(), result)) {
      staleResults++;
      return null;
    }
    Slot slot = slots.get(next);
    slot.held = Math.max(slot.held, tokens.size());
    if (!step.call().wantsToken()) {
      advance(result.outputs());
      return null;
    }
    String token = result.token();
    if (token == null) {
      throw new IllegalStateException("answers() admits no last stage without a token");
    }
    tokens.add(token);
    ended = result.endOfText();
    startPass();
    return token;
  }

  /**
   * Takes the failure of the present step: its stage is given up, or asked again where it only lost
   * its memory of the request.
   *
   * @param failure why the step did not come back
   */
  public void failed(StepFailure failure) {
    attempt++;
    Slot slot = slots.get(next);
    if (failure == StepFailure.CACHE_LOST && slot.held > 0) {
      slot.held = 0;
      startPass();
      return;
    }
    excluded.add(slot.stage.target().name());
    gap = slot.stage.layers();
  }

  /** Gives up every stage, for when no engine can stand in for the missing layers alone. */
  public void restartChain() {
    attempt++;
    slots.clear();
    gap = new LayerRange(0, modelLayers);
  }

  /** Allows targets again that failed earlier, for when too few others are left. */
  public void forgetExclusions() {
    excluded.clear();
  }

  /**
   * Puts stages where layers have none.
   *
   * @param stages stages that cover the layers named by {@link Action.Replace}, in order
   * @throws IllegalArgumentException if they do not cover them exactly
   */
  public void useReplacement(List<Stage> stages) {
    LayerRange missing = gap;
    if (missing == null) {
      throw new IllegalStateException("no layers are missing");
    }
    requireCover(missing, stages);
    slots.removeIf(slot -> missing.contains(slot.stage.layers()));
    int at = 0;
    while (at < slots.size() && slots.get(at).stage.layers().to() <= missing.from()) {
      at++;
    }
    for (Stage stage : stages) {
      slots.add(at++, new Slot(stage));
      used.add(stage);
    }
    gap = null;
    startPass();
  }

  private void startPass() {
    next = 0;
    inputStart = firstNeeded(0);
    inputs = List.copyOf(tokens.subList(inputStart, tokens.size()));
  }

  private void advance(List<String> outputs) {
    next++;
    int needed = firstNeeded(next);
    inputs = List.copyOf(outputs.subList(needed - inputStart, outputs.size()));
    inputStart = needed;
  }

  /** Returns the first position that this stage or a later one lacks; the newest at the most. */
  private int firstNeeded(int from) {
    int needed = tokens.size() - 1;
    for (Slot slot : slots.subList(from, slots.size())) {
      needed = Math.min(needed, slot.held);
    }
    return needed;
  }

  private static boolean answers(StepCall call, StepResult result) {
    boolean complete =
        call.wantsToken()
            ? result.token() != null
            : result.outputs().size() == call.inputs().size();
    return call.requestId().equals(result.requestId())
        && call.attempt() == result.attempt()
        && call.firstPosition() == result.firstPosition()
        && complete;
  }

  private static void requireCover(LayerRange layers, List<Stage> stages) {
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
