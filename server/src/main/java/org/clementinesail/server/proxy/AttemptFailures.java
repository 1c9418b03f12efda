package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.clementinesail.core.desired.Route;

/** Decides what follows when an attempt of a request has failed. */
final class AttemptFailures {
  private final Exchange exchange;
  private final ProxyContext context;
  private final AttemptCounts counts;
  private final Set<String> excludedTargets;
  private final PartGuard partGuard;
  private final TargetChooser chooser;
  private final ExchangeLog log;

  AttemptFailures(
      Exchange exchange,
      ProxyContext context,
      AttemptCounts counts,
      Set<String> excludedTargets,
      PartGuard partGuard,
      TargetChooser chooser,
      ExchangeLog log) {
    this.exchange = exchange;
    this.context = context;
    this.counts = counts;
    this.excludedTargets = excludedTargets;
    this.partGuard = partGuard;
    this.chooser = chooser;
    this.log = log;
  }

  /** Handles a refusal: the target has not run the request and never will. */
  void onRefused(Attempt from, HttpResponse response) {
    Optional<String> faulty = context.dialect().faultyAddress(response);
    faulty.ifPresent(
        address -> context.faults().markSuspect(address, "a refusal names it as faulty"));
    context.peers().recordFailure(from.peer());
    if (faulty.isEmpty() || from.path().isEmpty()) {
      excludedTargets.add(from.target().id());
    }
    log.refusedByTarget(from.target().id(), response.status().code(), faulty.orElse(""));
    boolean otherGoesOn = exchange.otherGoesOn(from, false);
    OptionalDouble later = RetryAfter.later(context, response);
    if (from.peer() != null && later.isPresent() && !otherGoesOn) {
      exchange.giveUp("another VM refused the request", later.getAsDouble());
    } else {
      retryAfterRefusal(from, otherGoesOn, "targets refused the request");
    }
  }

  /** Checks whether this VM still reaches the service after a target has failed. */
  private void checkReachability(Attempt from) {
    if (from.peer() == null) {
      context.peers().checks().check(from.target().service());
    }
  }

  /** Handles a failed connection: nothing of the request reached the target. */
  void onNotSent(Attempt from, String reason) {
    boolean otherGoesOn = exchange.otherGoesOn(from, false);
    counts.recordNotSent();
    if (counts.mayHaveArrived()) {
      context.routing().retryBudget(from.target().service()).returnRetry();
    }
    String target = from.target().id();
    if (counts.mayHaveRunOn(target)) {
      counts.recordDeadTarget(target);
    }
    context.faults().markSuspect(from.target().address(), reason);
    context.peers().recordFailure(from.peer());
    checkReachability(from);
    excludedTargets.add(target);
    retryAfterRefusal(from, otherGoesOn, "no target could be reached");
  }

  private void retryAfterRefusal(Attempt from, boolean otherGoesOn, String reason) {
    counts.recordRefusal();
    if (otherGoesOn) {
      return;
    }
    if (counts.refusalLimitReached()) {
      exchange.giveUp(reason);
    } else {
      tryAnother(from, reason);
    }
  }

  /** Returns whether another target may get the request beside an attempt that has stalled. */
  boolean mayTryBeside(Attempt from) {
    return !counts.refusalLimitReached() && mayRetry(from);
  }

  /**
   * Ends a request of another VM if this VM does not reach its targets either; the other VM takes
   * its answer for lost and goes on elsewhere. Returns whether the request has been ended.
   */
  boolean leaveToOtherVm(Attempt from) {
    Route route = from.route();
    if (!context.relayed() || route == null || !context.peers().isCutOff(from)) {
      return false;
    }
    String reason = "this VM is cut off from the service too";
    log.endedByProxy("failed", route.name(), HttpResponseStatus.BAD_GATEWAY, reason, counts);
    exchange.sender().abort();
    exchange.finish("failed");
    return true;
  }

  /** Returns whether another target may get the request if an attempt is given up. */
  boolean mayRetry(Attempt from) {
    return mayContinue() && counts.mayRetry(from.route(), from.target().id());
  }

  private boolean mayResend(Attempt from) {
    return mayContinue() && counts.mayResend(from.route(), from.target().id());
  }

  private boolean mayContinue() {
    return exchange.sender().progress().mayContinue();
  }

  private void tryAnother(Attempt from, String reason) {
    if (mayContinue() && counts.mayTryAnother(from.route())) {
      exchange.tryNextTarget();
    } else {
      exchange.giveUp(reason);
    }
  }

  /** Handles an incomplete or unauthenticated response: the request may have run. */
  void onResponseLost(Attempt from, boolean staleConnection, String reason) {
    String target = from.target().id();
    log.responseLost(target, reason);
    boolean otherGoesOn = exchange.otherGoesOn(from, true);
    if (!otherGoesOn && staleConnection && mayResend(from)) {
      counts.recordPossibleRun(target);
      partGuard.afterLoss(from, () -> exchange.guard(() -> resend(from, reason)));
      return;
    }
    excludedTargets.add(target);
    context.peers().recordFailure(from.peer());
    if (!staleConnection && from.peer() == null) {
      context.faults().recordLostResponse(from.target());
      checkReachability(from);
    }
    if (otherGoesOn) {
      partGuard.afterLoss(from, () -> {});
      return;
    }
    boolean retry = mayRetry(from);
    counts.recordPossibleRun(target);
    Runnable next =
        retry
            ? exchange::tryNextTarget
            : () -> exchange.fail(HttpResponseStatus.BAD_GATEWAY, reason);
    partGuard.afterLoss(from, () -> exchange.guard(next));
  }

  private void resend(Attempt from, String reason) {
    if (!exchange.resend(from)) {
      excludedTargets.add(from.target().id());
      tryAnother(from, reason);
    }
  }

  /** Handles a response that cannot follow what the caller has received. */
  void onNoContinuation(Attempt from, String reason) {
    String target = from.target().id();
    log.notContinued(target, reason, exchange.sender().progress().lastEventId());
    excludedTargets.add(target);
    if (exchange.otherGoesOn(from, true)) {
      return;
    }
    counts.recordPossibleRun(target);
    tryAnother(from, reason);
  }

  /** Fails a response that was partly sent to the caller and cannot be continued. */
  void onPartialResponseLost(Attempt from, String reason) {
    exchange.endAttempt();
    counts.recordPossibleRun(from.target().id());
    partGuard.afterLoss(from, () -> {});
    exchange.fail(HttpResponseStatus.BAD_GATEWAY, reason);
  }

  /** Retries a request after a 5xx status; returns false if the status is to be passed on. */
  boolean retryAfterServerError(Attempt from, HttpResponse response) {
    // Another VM has tried again already, if the route allows it.
    if (response.status().codeClass() != HttpStatusClass.SERVER_ERROR || from.peer() != null) {
      return false;
    }
    String target = from.target().id();
    if (exchange.otherGoesOn(from, true)) {
      excludedTargets.add(target);
      return true;
    }
    excludedTargets.add(target);
    if (!mayRetry(from) || !chooser.hasRetry(from.target().service(), System.nanoTime())) {
      return false;
    }
    counts.recordPossibleRun(target);
    exchange.endAttempt();
    log.retriedAfterServerError(target, response.status().code());
    exchange.tryNextTarget();
    return true;
  }
}
