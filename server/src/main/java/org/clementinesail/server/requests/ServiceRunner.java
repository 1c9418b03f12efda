package org.clementinesail.server.requests;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.clementinesail.core.limits.RetryBudget;
import org.clementinesail.core.state.CallOutcome;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.server.targets.Services;
import org.clementinesail.server.targets.Services.Attempt;
import org.clementinesail.server.targets.TargetRegistry;

/** Runs service calls: repeatable calls with retries, all others at most once. */
public final class ServiceRunner {
  private static final int MAX_RETRIES = 3;
  private static final int MAX_UNSENT_ATTEMPTS = 4;
  private static final long INITIAL_BACKOFF_MS = 20;
  private static final int HTTP_UNAVAILABLE = 503;

  private final TargetRegistry targets;
  private final Services services;
  private final CallClaims claims;
  private final RandomGenerator random;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

  /**
   * Creates a runner with a new retry budget for each workspace.
   *
   * @param targets chooses targets and records their load and failures
   * @param services sends calls to targets
   * @param claims claims calls that are not repeatable and have an idempotency key
   * @param random source of backoff jitter
   */
  public ServiceRunner(
      TargetRegistry targets, Services services, CallClaims claims, RandomGenerator random) {
    this.targets = targets;
    this.services = services;
    this.claims = claims;
    this.random = random;
  }

  /**
   * Runs a call until it is answered or fails.
   *
   * @param call call to run
   * @param repeatable whether the call may run more than once and is retried
   * @throws InterruptedException if the thread is interrupted
   */
  public ServiceResult run(ServiceCall call, boolean repeatable) throws InterruptedException {
    if (repeatable) {
      return runRepeatable(call);
    }
    if (call.idempotencyKey() == null) {
      return toResult(runAtMostOnce(call), call);
    }
    return runClaimed(call);
  }

  private ServiceResult runClaimed(ServiceCall call) throws InterruptedException {
    CallClaims.Claim claim = claims.claim(call);
    if (claim instanceof CallClaims.Refused refused) {
      return new ServiceResult.Failed(refused.failure());
    }
    if (claim instanceof CallClaims.Ended ended) {
      return replayedResult(ended.ending());
    }
    CallOutcome outcome = runAtMostOnce(call);
    claims.finish(call, (CallClaims.Granted) claim, outcome);
    return toResult(outcome, call);
  }

  /** Sends the call at most once; tries another target only if nothing was sent to the last one. */
  private CallOutcome runAtMostOnce(ServiceCall call) {
    Set<String> unreachable = new HashSet<>();
    for (int i = 0; i < MAX_UNSENT_ATTEMPTS; i++) {
      Optional<TargetDescription> target = chooseTarget(call, unreachable);
      if (target.isEmpty()) {
        return new CallOutcome.NotRun();
      }
      Attempt attempt = send(call, target.get(), true, call.deadline());
      if (attempt instanceof Attempt.Answered a) {
        return new CallOutcome.Answered(a.status(), a.contentType(), a.body());
      }
      if (attempt instanceof Attempt.MaybeSent) {
        return new CallOutcome.Unknown();
      }
      unreachable.add(target.get().name());
    }
    return new CallOutcome.NotRun();
  }

  private ServiceResult runRepeatable(ServiceCall call) throws InterruptedException {
    RetryBudget budget = retryBudget(call.workspace());
    updateBudget(budget, RetryBudget::recordFirstAttempt);
    Set<String> failed = new HashSet<>();
    boolean sent = false;
    for (int i = 0; i <= MAX_RETRIES; i++) {
      Optional<TargetDescription> target =
          chooseTarget(call, failed).or(() -> chooseTarget(call, Set.of()));
      if (target.isEmpty()) {
        break;
      }
      Attempt attempt = send(call, target.get(), i > 0, attemptDeadline(call, i));
      if (attempt instanceof Attempt.Answered a
          && (a.status() != HTTP_UNAVAILABLE || i == MAX_RETRIES)) {
        return new ServiceResult.Answered(a.status(), a.contentType(), a.body(), false);
      }
      sent = sent || !(attempt instanceof Attempt.NothingSent);
      failed.add(target.get().name());
      if (System.nanoTime() - call.deadline() >= 0 || !tryAcquireRetry(budget)) {
        break;
      }
      TimeUnit.MILLISECONDS.sleep(backoffMillis(i));
    }
    return new ServiceResult.Failed(sent ? answerLost(call) : noTarget(call));
  }

  private Attempt send(
      ServiceCall call, TargetDescription target, boolean newConnection, long deadline) {
    targets.recordAssignment(target.name());
    Attempt attempt =
        services.send(
            target,
            call.method(),
            call.path(),
            call.headers(),
            call.body(),
            newConnection,
            deadline);
    targets.recordRelease(target.name());
    if (attempt instanceof Attempt.Answered) {
      targets.recordSuccess(target.name(), 0);
    } else {
      targets.recordFailure(target.name());
    }
    return attempt;
  }

  /** Splits the remaining time evenly between this attempt and all that may follow. */
  private static long attemptDeadline(ServiceCall call, int attempt) {
    long now = System.nanoTime();
    return now + (call.deadline() - now) / (MAX_RETRIES + 1 - attempt);
  }

  private Optional<TargetDescription> chooseTarget(ServiceCall call, Set<String> excluded) {
    return targets.chooseServiceTarget(call.service(), excluded, call.preferredDataCentre());
  }

  private RetryBudget retryBudget(String workspace) {
    synchronized (retryBudgets) {
      return retryBudgets.computeIfAbsent(workspace, key -> new RetryBudget());
    }
  }

  private void updateBudget(RetryBudget budget, Consumer<RetryBudget> update) {
    synchronized (retryBudgets) {
      update.accept(budget);
    }
  }

  private boolean tryAcquireRetry(RetryBudget budget) {
    synchronized (retryBudgets) {
      return budget.tryAcquireRetry();
    }
  }

  private long backoffMillis(int retry) {
    long maxMillis = INITIAL_BACKOFF_MS << retry;
    return maxMillis / 2 + random.nextLong(maxMillis / 2 + 1);
  }

  private static ServiceResult toResult(CallOutcome outcome, ServiceCall call) {
    if (outcome instanceof CallOutcome.Answered a) {
      return new ServiceResult.Answered(a.status(), a.contentType(), a.body(), false);
    }
    return new ServiceResult.Failed(
        outcome instanceof CallOutcome.NotRun ? noTarget(call) : answerLost(call));
  }

  private static ServiceResult replayedResult(CallOutcome outcome) {
    if (outcome instanceof CallOutcome.Answered a) {
      return new ServiceResult.Answered(a.status(), a.contentType(), a.body(), true);
    }
    return new ServiceResult.Failed(
        CallFailure.unknown(
            502, "outcome_unknown", "the first call with this key may or may not have run"));
  }

  private static CallFailure noTarget(ServiceCall call) {
    return CallFailure.notRun(
        HTTP_UNAVAILABLE,
        "no_target",
        "no target of service '" + call.service() + "' could be reached");
  }

  private static CallFailure answerLost(ServiceCall call) {
    return CallFailure.unknown(
        502,
        "answer_lost",
        "the call was sent to service '" + call.service() + "' but no complete response came back");
  }
}
