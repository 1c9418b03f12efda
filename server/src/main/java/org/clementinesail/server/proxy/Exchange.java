package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.responses.ResponseProgress;
import org.jspecify.annotations.Nullable;

/**
 * Processes one caller's request: chooses a target, retries where the route allows it, and sends
 * the response or an error status that tells whether the request may have run.
 */
final class Exchange {
  /** How long a request may wait for a target before it is refused with Retry-After. */
  private static final long MAX_TARGET_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Unrepeatable requests reuse no connection that is idle for longer: it may be stale. */
  private static final long MAX_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Retry-After is 1 to 2 times this: about the time for streams to end and engines to return. */
  private static final double RETRY_AFTER_SECONDS = 1.5;

  /** The same while a VM knows no desired state yet, because it has just started. */
  private static final double STARTUP_RETRY_AFTER_SECONDS = 2.5;

  private final ProxyContext context;
  private final CallerConnection caller;
  private final HttpRequest head;
  private final ByteBuf body;
  private final long receivedAt;
  private final RequestMetadata metadata;
  private final ExchangeLog log;
  private final PartGuard partGuard;
  private final ResponseSender sender;
  private final AttemptFailures failures;
  private final AttemptCounts counts = new AttemptCounts();
  private final Set<String> excludedTargets = new HashSet<>();
  private @Nullable Route route;
  private @Nullable Service service;
  private @Nullable String workspace;
  private long deadline = Long.MAX_VALUE;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable Attempt attempt;
  private boolean awaitingTarget;
  private boolean awaitingState;
  private long resolvedAt;
  private boolean finished;

  Exchange(
      ProxyContext context,
      CallerConnection caller,
      HttpRequest head,
      ByteBuf body,
      long receivedAt) {
    this.context = context;
    this.caller = caller;
    this.head = head;
    this.body = body;
    this.receivedAt = receivedAt;
    this.metadata = context.dialect().readMetadata(head);
    this.log = new ExchangeLog(context.log(), metadata.id(), receivedAt);
    this.partGuard = new PartGuard(context.crashes(), head, body, metadata);
    this.sender = new ResponseSender(context, caller, partGuard, counts, metadata, receivedAt);
    this.failures = new AttemptFailures(this, context, counts, excludedTargets, partGuard, log);
  }

  void start() {
    resolve(System.nanoTime());
  }

  private void resolve(long now) {
    var resolution = RequestResolver.resolve(context.routing(), metadata, head.uri());
    if (resolution instanceof RequestResolver.Resolved resolved) {
      start(resolved);
    } else if (resolution instanceof RequestResolver.Denied denied) {
      endWithStatus("denied", denied.status(), HeaderCopies.empty(), denied.reason());
    } else {
      awaitingState = context.startupWait().mayWait(now, receivedAt, metadata.timeoutMillis());
      if (!awaitingState) {
        refuse("no desired state is known yet", STARTUP_RETRY_AFTER_SECONDS);
      }
    }
  }

  private void start(RequestResolver.Resolved resolved) {
    awaitingState = false;
    resolvedAt = System.nanoTime();
    route = resolved.route();
    service = resolved.service();
    workspace = resolved.workspace();
    partGuard.resolved(resolved.service(), resolved.workspace());
    context.routing().retryBudget(resolved.service().name()).recordFirstAttempt();
    long limit = resolved.route().timeoutMillis();
    long millis = metadata.timeoutMillis() < 0 ? limit : Math.min(metadata.timeoutMillis(), limit);
    deadline = receivedAt + TimeUnit.MILLISECONDS.toNanos(millis);
    timer =
        context
            .loop()
            .schedule(
                () -> guard(this::expire), deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
    tryNextTarget();
  }

  /** Sends the request to a target, waits until one is available, or ends the request. */
  void tryNextTarget() {
    Service chosen = service;
    if (finished || chosen == null) {
      return;
    }
    long now = System.nanoTime();
    OptionalDouble refusedSeconds = partGuard.refusedSeconds(now);
    if (refusedSeconds.isPresent()) {
      giveUp("a part of the request crashes engines", refusedSeconds.getAsDouble());
      return;
    }
    var choice = context.routing().chooseDestination(chosen, metadata, excludedTargets, now);
    if (choice.isPresent()) {
      awaitingTarget = false;
      boolean repeatable = route != null && route.repeatable();
      send(choice.get(), chosen.engine(), repeatable ? Long.MAX_VALUE : MAX_IDLE_NANOS);
    } else if (progress().started() || now - resolvedAt < MAX_TARGET_WAIT_NANOS) {
      awaitingTarget = true;
      excludedTargets.clear();
    } else {
      giveUp("no target is available", RETRY_AFTER_SECONDS);
    }
  }

  private void send(
      RoutingState.Destination choice, @Nullable EngineModel model, long maxIdleNanos) {
    Fleet.Member first = choice.firstTarget();
    String name = first.statement().service();
    if (counts.sentCount() > 0 && !context.routing().retryBudget(name).tryAcquireRetry()) {
      giveUp("the retry budget is used up", RETRY_AFTER_SECONDS);
      return;
    }
    counts.recordSent();
    partGuard.onSent();
    long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
    var forwardingInfo =
        new ForwardingInfo(
            workspace, millis, first.statement().id(), choice.path(), progress().lastEventId());
    FullHttpRequest request = TargetRequest.of(context.dialect(), head, body, forwardingInfo);
    var estimate = RoutingState.TokenEstimate.of(metadata, model);
    Attempt next = new Attempt(this, context, first.statement(), choice.path(), route, model);
    attempt = next;
    next.start(request, metadata.id(), maxIdleNanos, estimate);
  }

  /** Tries again to start a waiting request; switches a stalled response to another path. */
  void checkProgress(long now) {
    Attempt current = attempt;
    if (finished) {
      return;
    } else if (awaitingState) {
      resolve(now);
      return;
    } else if (awaitingTarget) {
      tryNextTarget();
      return;
    } else if (current != null) {
      current.endOverdueRefusal(now);
    }
    if (current == null || current != attempt || current.path().isEmpty()) {
      return;
    }
    long pause = now - current.lastProgressAt();
    if (context.faults().shouldSwitchPath(current.path(), pause, current.usualPauseNanos())) {
      switchPath(current, "an engine on the path is at fault");
    }
  }

  /** Continues the response on another path if the route allows a retry. */
  private void switchPath(Attempt from, String reason) {
    if (!mayRetry(from)) {
      return;
    }
    if (context.faults().isSuspect(from.target().id())) {
      counts.recordDeadTarget(from.target().id());
    }
    log.pathSwitched(reason, progress().lastEventId());
    from.cancel();
    from.path().stream()
        .filter(hop -> context.faults().isSuspect(hop.id()))
        .forEach(hop -> excludedTargets.add(hop.id()));
    counts.recordPossibleRun(from.target().id());
    attempt = null;
    tryNextTarget();
  }

  /** Forgets the current attempt, which has ended. */
  void endAttempt() {
    attempt = null;
  }

  /** Returns whether another target may get the request if an attempt is given up. */
  boolean mayRetry(Attempt from) {
    return progress().mayContinue() && counts.mayRetry(route, from.target().id());
  }

  /** Returns whether another target may get the request after all attempts that have failed. */
  boolean mayTryAnother() {
    return progress().mayContinue() && counts.mayTryAnother(route);
  }

  /** Returns whether the target of a failed attempt may get the request again. */
  boolean mayResend(Attempt from) {
    return progress().mayContinue() && counts.mayResend(route, from.target().id());
  }

  /**
   * Sends the request again to the target of a failed attempt, on a new connection; returns false
   * if the target accepts no requests now.
   */
  boolean resend(Attempt from) {
    Service chosen = service;
    if (finished || chosen == null) {
      return true;
    }
    long now = System.nanoTime();
    String id = from.target().id();
    Optional<Fleet.Member> target =
        context.routing().fleet().ready(chosen.name(), now).stream()
            .filter(member -> member.statement().id().equals(id) && !member.isSuspect(now))
            .findFirst();
    if (target.isEmpty() || partGuard.refusedSeconds(now).isPresent()) {
      return false;
    }
    counts.recordResend(id);
    send(new RoutingState.Destination(target.get(), from.path()), chosen.engine(), 0);
    return true;
  }

  /** Sends a response whose body is known completely; releases the body. */
  void sendWholeResponse(HttpResponse response, ByteBuf content) {
    if (finished) {
      content.release();
      return;
    }
    partGuard.onAnswered();
    sender.sendWhole(response, content);
    finish("answered");
  }

  /** Completes the response, or sends an empty one if no part was sent. */
  void completeResponse(HttpResponse response) {
    if (!progress().started()) {
      sendWholeResponse(response, Unpooled.EMPTY_BUFFER);
    } else if (!finished) {
      sender.end();
      finish("answered");
    }
  }

  AttemptFailures failures() {
    return failures;
  }

  ResponseSender sender() {
    return sender;
  }

  private ResponseProgress progress() {
    return sender.progress();
  }

  void onCallerWritabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  void onCallerDisconnected() {
    if (finish("caller left")) {
      log.callerDisconnected();
    }
  }

  private void expire() {
    if (finished) {
      return;
    }
    if (counts.certainlyNotRun() && attempt == null) {
      refuse("no target accepted the request before its deadline", RETRY_AFTER_SECONDS);
    } else {
      fail(HttpResponseStatus.GATEWAY_TIMEOUT, "the deadline of the request has passed");
    }
  }

  /** Ends the request after its attempts have failed. */
  void giveUp(String reason) {
    giveUp(reason, RETRY_AFTER_SECONDS);
  }

  /** Ends the request: 503 with Retry-After if it has certainly not run, else 502. */
  private void giveUp(String reason, double retryAfterSeconds) {
    if (counts.certainlyNotRun()) {
      refuse(reason, retryAfterSeconds);
    } else {
      fail(HttpResponseStatus.BAD_GATEWAY, reason);
    }
  }

  private void refuse(String reason, double retryAfterSeconds) {
    HttpHeaders headers = HeaderCopies.empty();
    double seconds = retryAfterSeconds * (1 + context.routing().random().nextDouble());
    context.dialect().setRetryAfter(headers, seconds);
    endWithStatus("refused", HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
  }

  void fail(HttpResponseStatus status, String reason) {
    endWithStatus("failed", status, HeaderCopies.empty(), reason);
  }

  private void endWithStatus(
      String outcome, HttpResponseStatus status, HttpHeaders headers, String reason) {
    if (finished) {
      return;
    }
    log.endedByProxy(outcome, routeName(), status, reason, counts);
    if (progress().started()) {
      caller.abort();
    } else {
      caller.sendResponse(status, headers, Unpooled.EMPTY_BUFFER);
    }
    finish(outcome);
  }

  /** Runs a step of the request; an exception ends the request instead of leaving it open. */
  void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      log.stepFailed(e);
      endAfterError();
    }
  }

  private void endAfterError() {
    try {
      fail(HttpResponseStatus.BAD_GATEWAY, "internal error");
    } catch (RuntimeException e) {
      log.stepFailed(e);
    } finally {
      caller.abortIfCurrent(this);
      finish("failed");
    }
  }

  private boolean finish(String outcome) {
    if (finished) {
      return false;
    }
    finished = true;
    if (timer != null) {
      timer.cancel(false);
    }
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
    body.release();
    context.metrics().recordEnd(routeName(), outcome, System.nanoTime() - receivedAt);
    return true;
  }

  String requestId() {
    return metadata.id();
  }

  private String routeName() {
    return route == null ? "" : route.name();
  }
}
