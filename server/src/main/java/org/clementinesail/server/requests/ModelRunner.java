package org.clementinesail.server.requests;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.pipeline.CrashHistory;
import org.clementinesail.core.pipeline.PipelineRun;
import org.clementinesail.core.pipeline.PipelineRun.Action;
import org.clementinesail.core.pipeline.StepCall;
import org.clementinesail.core.pipeline.StepFailure;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.server.targets.Engines;
import org.clementinesail.server.targets.Engines.StepOutcome;
import org.clementinesail.server.targets.TargetRegistry;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Runs model requests on chains of engines and replaces stages that fail. */
public final class ModelRunner {
  /** How long a request may wait for a chain of engines before it fails. */
  private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final long REPLAN_DELAY_MS = 50;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TargetRegistry targets;
  private final Engines engines;
  private final CrashTracker crashTracker;

  /**
   * Creates a runner; it may run many requests at the same time, each on a thread of its own.
   *
   * @param targets plans chains and records the load and failures of engines
   * @param engines sends steps to engines
   * @param crashTracker identifies requests that crash targets
   */
  public ModelRunner(TargetRegistry targets, Engines engines, CrashTracker crashTracker) {
    this.targets = targets;
    this.engines = engines;
    this.crashTracker = crashTracker;
  }

  /**
   * Runs a request until it completes, fails, passes its deadline or the caller disconnects.
   *
   * @param request request to run
   * @param sink receives each token as soon as it is generated
   * @throws InterruptedException if the thread is interrupted
   */
  public ModelResult run(ModelRequest request, TokenSink sink) throws InterruptedException {
    String digest = request.digest();
    if (crashTracker.blamed(digest)) {
      return new ModelResult.Failed(
          CallFailure.notRun(
              422,
              "request_crashes_targets",
              "this request crashed two targets before; it is rejected for one hour"));
    }
    long startDeadline = Math.min(request.deadline(), System.nanoTime() + START_TIMEOUT_NANOS);
    List<String> prompt = tokenize(request, startDeadline);
    if (prompt == null || prompt.isEmpty()) {
      return new ModelResult.Failed(
          CallFailure.notRun(
              503,
              "no_engines",
              "no chain of engines covers every layer of model '" + request.model() + "'"));
    }
    RequestRun requestRun = new RequestRun(request, digest, prompt, sink);
    try {
      return requestRun.run();
    } finally {
      requestRun.cancel();
    }
  }

  private @Nullable List<String> tokenize(ModelRequest request, long startDeadline)
      throws InterruptedException {
    while (System.nanoTime() - startDeadline < 0) {
      Optional<List<Stage>> chain = planFullChain(request, Set.of());
      if (chain.isPresent()) {
        List<String> tokens =
            engines.tokenize(chain.get().get(0).target(), request.model(), request.prompt());
        if (tokens != null) {
          return tokens;
        }
      }
      TimeUnit.MILLISECONDS.sleep(REPLAN_DELAY_MS);
    }
    return null;
  }

  private Optional<List<Stage>> planFullChain(ModelRequest request, Set<String> excluded) {
    int layers = targets.modelLayers(request.model());
    if (layers == 0) {
      return Optional.empty();
    }
    return targets.planStages(
        request.model(), new LayerRange(0, layers), excluded, request.preferredDataCentre());
  }

  /** State of one running request. */
  private final class RequestRun {
    private final ModelRequest request;
    private final String digest;
    private final TokenSink sink;
    private final int promptTokens;
    private final PipelineRun pipelineRun;
    private boolean stepSent;
    private boolean endOfText;

    RequestRun(ModelRequest request, String digest, List<String> prompt, TokenSink sink) {
      this.request = request;
      this.digest = digest;
      this.sink = sink;
      this.promptTokens = prompt.size();
      this.pipelineRun =
          new PipelineRun(
              request.id(), targets.modelLayers(request.model()), prompt, request.maxTokens());
    }

    ModelResult run() throws InterruptedException {
      while (System.nanoTime() - request.deadline() < 0) {
        Action action = pipelineRun.action();
        if (action instanceof Action.Finished) {
          return new ModelResult.Completed(promptTokens, pipelineRun.generatedTokens(), endOfText);
        }
        if (action instanceof Action.PlanStages plan) {
          planStages(plan.layers());
        } else if (action instanceof Action.Step step) {
          ModelResult result = runStep(step.call());
          if (result != null) {
            return result;
          }
        }
      }
      return fail(504, "deadline_passed", "the deadline passed before the answer was complete");
    }

    void cancel() {
      for (Stage stage : pipelineRun.usedStages()) {
        engines.cancel(stage, request.id());
        targets.recordRelease(stage.target().name());
      }
    }

    private void planStages(LayerRange layers) throws InterruptedException {
      Optional<List<Stage>> stages =
          targets.planStages(
              request.model(), layers, pipelineRun.excluded(), request.preferredDataCentre());
      if (stages.isEmpty()) {
        stages = planFullChain(request, pipelineRun.excluded());
        if (stages.isPresent()) {
          pipelineRun.restartChain();
        }
      }
      if (stages.isPresent()) {
        stages.get().stream()
            .filter(stage -> !pipelineRun.usedStages().contains(stage))
            .forEach(stage -> targets.recordAssignment(stage.target().name()));
        pipelineRun.assignStages(stages.get());
      } else {
        pipelineRun.clearExcluded();
        TimeUnit.MILLISECONDS.sleep(REPLAN_DELAY_MS);
      }
    }

    private @Nullable ModelResult runStep(StepCall call) throws InterruptedException {
      String target = call.stage().target().name();
      int position = pipelineRun.position();
      boolean suspected = crashTracker.acquireTurn(digest, target);
      try {
        if (suspected && !engines.responds(call.stage().target())) {
          // An engine that was down before the step must not count as crashed by the request.
          pipelineRun.handleFailure(StepFailure.UNREACHABLE);
          return null;
        }
        stepSent = true;
        long startedAt = System.nanoTime();
        StepOutcome outcome = engines.step(request.model(), call, suspected);
        if (outcome instanceof StepOutcome.Completed done) {
          double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
          targets.recordSuccess(target, seconds - done.computeSeconds());
          return handleCompletedStep(done, position);
        }
        targets.recordFailure(target);
        return fail(target, position, suspected, ((StepOutcome.Failed) outcome).reason());
      } finally {
        if (suspected) {
          crashTracker.releaseTurn(target);
        }
      }
    }

    private @Nullable ModelResult handleCompletedStep(StepOutcome.Completed done, int position) {
      String token = pipelineRun.handleResult(done.result());
      if (token == null) {
        return null;
      }
      crashTracker.recordPassed(digest, position);
      endOfText = done.result().endOfText();
      try {
        sink.accept(token);
        return null;
      } catch (IOException e) {
        return new ModelResult.CallerDisconnected();
      }
    }

    private @Nullable ModelResult fail(
        String target, int position, boolean isolated, StepFailure reason) {
      Logger.info(
          "target {} failed request {} at position {}: {}", target, request.id(), position, reason);
      pipelineRun.handleFailure(reason);
      // A crashing process that writes a core dump stops responding before it ends.
      if (reason != StepFailure.CRASHED && reason != StepFailure.SILENT) {
        return null;
      }
      String targetIncarnation = target + "#" + targets.incarnation(target);
      crashTracker.recordCrash(
          new CrashHistory.CrashRecord(digest, position, targetIncarnation, isolated));
      if (crashTracker.blamed(digest)) {
        return fail(
            502, "request_crashes_targets", "this request crashed two targets and was aborted");
      }
      return null;
    }

    /** The outcome is unknown once a step was sent. */
    private ModelResult fail(int status, String code, String message) {
      return new ModelResult.Failed(
          stepSent
              ? CallFailure.unknown(status, code, message)
              : CallFailure.notRun(status, code, message));
    }
  }
}
