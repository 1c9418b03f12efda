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

/** Runs service calls: repeatable ones with retries, all others at most once. */
public final class ServiceRunner {
  private static final int MAX_REPEATS = 3;
  private static final int MAX_REFUSED_CONNECTIONS = 4;
  private static final long FIRST_BACKOFF_MS = 20;
  private static final int UNAVAILABLE = 503;

  private final TargetRegistry targets;
  private final Services services;
  private final CallClaims claims;
  private final RandomGenerator random;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  /**
   * Creates a runner.
   *
   * @param targets chooses targets
   * @param services speaks to them
   * @param claims claims calls that may not be repeated
   * @param random source of jitter
   */
  public ServiceRunner(
      TargetRegistry targets, Services services, CallClaims claims, RandomGenerator random) {
    this.targets = targets;
    this.services = services;
    this.claims = claims;
    this.random = random;
  }

  /**
   * Runs a call to its end.
   *
   * @param call the call
   * @param repeatable whether it may run more than once
   * @throws InterruptedException if the thread is interrupted
   */
  public ServiceEnding run(ServiceCall call, boolean repeatable) throws InterruptedException {
    if (repeatable) {
      return runRepeatable(call);
    }
    if (call.key() == null) {
      return ending(runOnce(call), call);
    }
    return runClaimed(call);
  }

  private ServiceEnding runClaimed(ServiceCall call) throws InterruptedException {
    CallClaims.Claim claim = claims.claim(call);
    if (claim instanceof CallClaims.Refused refused) {
      return new ServiceEnding.Failed(refused.failure());
    }
    if (claim instanceof CallClaims.Ended ended) {
      return resent(ended.ending());
    }
    CallOutcome ending = runOnce(call);
    claims.finish(call, (CallClaims.Granted) claim, ending);
    return ending(ending, call);
  }

  /** Sends the call at most once; tries other targets only while nothing has been sent. */
  private CallOutcome runOnce(ServiceCall call) {
    Set<String> refused = new HashSet<>();
    for (int i = 0; i < MAX_REFUSED_CONNECTIONS; i++) {
      Optional<TargetDescription> target = choose(call, refused);
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
      refused.add(target.get().name());
    }
    return new CallOutcome.NotRun();
  }

  private ServiceEnding runRepeatable(ServiceCall call) throws InterruptedException {
    RetryBudget budget = budget(call.workspace());
    withBudget(budget, RetryBudget::recordFirstAttempt);
    Set<String> failed = new HashSet<>();
    boolean sent = false;
    for (int i = 0; i <= MAX_REPEATS; i++) {
      Optional<TargetDescription> target = choose(call, failed).or(() -> choose(call, Set.of()));
      if (target.isEmpty()) {
        break;
      }
      Attempt attempt = send(call, target.get(), i > 0, attemptDeadline(call, i));
      if (attempt instanceof Attempt.Answered a
          && (a.status() != UNAVAILABLE || i == MAX_REPEATS)) {
        return new ServiceEnding.Answered(a.status(), a.contentType(), a.body(), false);
      }
      sent = sent || !(attempt instanceof Attempt.NothingSent);
      failed.add(target.get().name());
      if (System.nanoTime() - call.deadline() >= 0 || !takeRetry(budget)) {
        break;
      }
      TimeUnit.MILLISECONDS.sleep(backoffMillis(i));
    }
    return new ServiceEnding.Failed(sent ? lost(call) : unreachable(call));
  }

  private Attempt send(
      ServiceCall call, TargetDescription target, boolean newConnection, long deadline) {
    targets.assigned(target.name());
    Attempt attempt =
        services.send(
            target,
            call.method(),
            call.path(),
            call.headers(),
            call.body(),
            newConnection,
            deadline);
    targets.released(target.name());
    if (attempt instanceof Attempt.Answered) {
      targets.succeeded(target.name(), 0);
    } else {
      targets.failed(target.name());
    }
    return attempt;
  }

  /** Leaves an equal share of the time to each attempt that may follow. */
  private static long attemptDeadline(ServiceCall call, int attempt) {
    long now = System.nanoTime();
    return now + (call.deadline() - now) / (MAX_REPEATS + 1 - attempt);
  }

  private Optional<TargetDescription> choose(ServiceCall call, Set<String> excluded) {
    return targets.service(call.service(), excluded, call.preferredDataCentre());
  }

  private RetryBudget budget(String workspace) {
    synchronized (budgets) {
      return budgets.computeIfAbsent(workspace, key -> new RetryBudget());
    }
  }

  private void withBudget(RetryBudget budget, Consumer<RetryBudget> use) {
    synchronized (budgets) {
      use.accept(budget);
    }
  }

  private boolean takeRetry(RetryBudget budget) {
    synchronized (budgets) {
      return budget.tryAcquireRetry();
    }
  }

  private long backoffMillis(int retry) {
    long most = FIRST_BACKOFF_MS << retry;
    return most / 2 + random.nextLong(most / 2 + 1);
  }

  private static ServiceEnding ending(CallOutcome ending, ServiceCall call) {
    if (ending instanceof CallOutcome.Answered a) {
      return new ServiceEnding.Answered(a.status(), a.contentType(), a.body(), false);
    }
    return new ServiceEnding.Failed(
        ending instanceof CallOutcome.NotRun ? unreachable(call) : lost(call));
  }

  private static ServiceEnding resent(CallOutcome ending) {
    if (ending instanceof CallOutcome.Answered a) {
      return new ServiceEnding.Answered(a.status(), a.contentType(), a.body(), true);
    }
    return new ServiceEnding.Failed(
        CallFailure.unknown(
            502, "outcome_unknown", "the first call with this key may or may not have run"));
  }

  private static CallFailure unreachable(ServiceCall call) {
    return CallFailure.notRun(
        UNAVAILABLE, "no_target", "no target of service '" + call.service() + "' could be reached");
  }

  private static CallFailure lost(ServiceCall call) {
    return CallFailure.unknown(
        502,
        "answer_lost",
        "the call was sent to service '" + call.service() + "' and its answer was lost");
  }
}
