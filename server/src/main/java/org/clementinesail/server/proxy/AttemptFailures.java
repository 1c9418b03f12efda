package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.clementinesail.core.desired.Route;
import org.jspecify.annotations.Nullable;

/** Decides what follows when an attempt of a request has failed. */
final class AttemptFailures {
  private final Exchange exchange;
  private final ProxyContext context;
  private final AttemptCounts counts;
  private final Set<String> excludedTargets;
  private final PartGuard partGuard;
  private final TargetChooser chooser;
  private final ExchangeLog log;
  private final TargetWait targetWait = new TargetWait();

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
    // A stream under way asks again, but not all the time.
    if (exchange.sender().progress().started() || RetryAfter.elsewhere(context, response)) {
      context.peers().recordFailure(from.peer());
    }
    if (faulty.isEmpty() || from.path().isEmpty()) {
      excludedTargets.add(from.target().id());
    }
    if (from.peer() == null && from.path().isEmpty() && isForWantOfRoom(response)) {
      context
          .routing()
          .admission()
          .fullTargets()
          .recordRefused(from.target().id(), System.nanoTime());
    }
    log.refusedByTarget(from.target().id(), response.status().code(), faulty.orElse(""));
    boolean otherGoesOn = exchange.otherGoesOn(from, false);
    OptionalDouble later = RetryAfter.later(context, response);
    if (from.peer() != null && later.isPresent() && !otherGoesOn) {
      exchange.ticket().takeBack(System.nanoTime());
      retryLater(from.route(), "another VM refused the request", later.getAsDouble());
    } else {
      retryAfterRefusal(from, otherGoesOn, "targets refused the request");
    }
  }

  private static boolean isForWantOfRoom(HttpResponse response) {
    return response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || response.status().equals(HttpResponseStatus.TOO_MANY_REQUESTS);
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
    exchange.ticket().takeBack(System.nanoTime());
    if (counts.refusalLimitReached()) {
      retryLater(from.route(), reason, RetryAfter.SECONDS);
    } else {
      tryAnother(from, reason);
    }
  }

  /** Returns for the log why a request gets another attempt beside a silent one. */
  static String stallReason(Attempt stalled) {
    return stalled.peer() == null
        ? "an engine on the path is at fault"
        : "the other VM does not serve its requests";
  }

  /** Records a target that cannot be reached; a VM that has frozen may go on with the request. */
  void recordIfDead(Attempt from, Destination next, Set<String> suspects) {
    String target = from.target().id();
    if (from.peer() == null && (next.peer() != null || suspects.contains(target))) {
      counts.recordDeadTarget(target);
    }
  }

  /** Returns the wait of the request for a target. */
  TargetWait targetWait() {
    return targetWait;
  }

  /**
   * Gives up a request, unless its caller has got a part of a stream that another attempt may
   * continue: that caller cannot be refused any more, and waits until the deadline. A request of
   * another VM ends, as that VM decides.
   */
  void retryLater(@Nullable Route route, String reason, double retryAfterSeconds) {
    boolean begun = exchange.sender().progress().started();
    if (begun && mayContinue() && counts.mayTryAnother(route) && !context.relayed()) {
      log.waits(reason);
      targetWait.begin(System.nanoTime() + TargetWait.STREAM_PAUSE_NANOS);
    } else {
      exchange.giveUp(reason, retryAfterSeconds);
    }
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

  /**
   * Handles the statement of another VM that it failed to serve a request that may have run. That
   * VM has tried again already, if the route allows it.
   */
  void onOtherVmFailed(Attempt from) {
    String reason = "another VM could not serve the request";
    excludedTargets.add(from.target().id());
    if (exchange.otherGoesOn(from, true)) {
      log.responseLost(from.target().id(), reason);
    } else {
      onPartialResponseLost(from, reason);
    }
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
    if (response.status().codeClass() != HttpStatusClass.SERVER_ERROR) {
      return false;
    }
    String target = from.target().id();
    if (exchange.otherGoesOn(from, true)) {
      excludedTargets.add(target);
      return true;
    }
    // Another VM has tried again already, if the route allows it.
    if (from.peer() != null) {
      return false;
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
