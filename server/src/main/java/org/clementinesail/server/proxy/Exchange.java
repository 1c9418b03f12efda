package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.jspecify.annotations.Nullable;

/**
 * Processes one caller's request: chooses a target, retries where the route allows it, and sends
 * the response or an error status that tells whether the request may have run.
 */
final class Exchange {
  /** How long a request may wait for a target before it is refused with Retry-After. */
  private static final long MAX_TARGET_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final ProxyContext context;
  private final CallerConnection caller;
  private final HttpRequest head;
  private final ByteBuf body;
  private final long receivedAt;
  private final RequestMetadata metadata;
  private final ExchangeLog log;
  private final PartGuard partGuard;
  private final PauseLogger pauseLogger;
  private final AttemptCounts counts = new AttemptCounts();
  private final StalledAttempt stalled = new StalledAttempt(counts);
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
  private boolean responseStarted;
  private boolean finished;
  private @Nullable String lastEventId;

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
    this.pauseLogger = new PauseLogger(context, metadata.id());
    this.lastEventId = metadata.lastEventId();
  }

  /** Starts the request, or tries again to start it while no desired state is known. */
  void start(long now) {
    var resolution = RequestResolver.resolve(context.routing(), metadata, head.uri());
    if (resolution instanceof RequestResolver.Resolved resolved) {
      start(resolved);
    } else if (resolution instanceof RequestResolver.Denied denied) {
      endWithStatus("denied", denied.status(), HeaderCopies.empty(), denied.reason());
    } else {
      awaitingState = context.startupWait().mayWait(now, receivedAt, metadata.timeoutMillis());
      if (!awaitingState) {
        refuse("no desired state is known yet", RetryAfter.STARTUP_SECONDS);
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
    context.routing().retryBudget(resolved.service()).recordFirstAttempt();
    long limit = resolved.route().timeoutMillis();
    long millis = metadata.timeoutMillis() < 0 ? limit : Math.min(metadata.timeoutMillis(), limit);
    deadline = receivedAt + TimeUnit.MILLISECONDS.toNanos(millis);
    Runnable expiry = () -> end("the deadline of the request has passed");
    timer = context.loop().schedule(expiry, deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
    tryNextTarget();
  }

  /** Sends the request to a target, waits until one is available, or ends the request. */
  private void tryNextTarget() {
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
      if (counts.sentCount() == 0 || context.routing().retryBudget(chosen).tryAcquireRetry()) {
        send(choice.get(), chosen.engine());
      } else {
        giveUp("the retry budget is used up", RetryAfter.SECONDS);
      }
    } else if (responseStarted || now - resolvedAt < MAX_TARGET_WAIT_NANOS) {
      awaitingTarget = true;
      excludedTargets.clear();
    } else {
      giveUp("no target is available", RetryAfter.SECONDS);
    }
  }

  private void send(RoutingState.Destination choice, @Nullable EngineModel model) {
    counts.recordSent();
    partGuard.onSent();
    ForwardingInfo info = ForwardingInfo.of(choice, workspace, deadline, lastEventId);
    FullHttpRequest request = TargetRequest.of(context.dialect(), head, body, info);
    Attempt next = new Attempt(this, context, choice, route, model);
    attempt = next;
    next.start(request, metadata);
  }

  /** Tries again to start a waiting request; tries another path beside a stalled response. */
  void checkProgress(long now) {
    Attempt current = attempt;
    if (finished) {
      return;
    } else if (awaitingState) {
      start(now);
    } else if (awaitingTarget) {
      tryNextTarget();
    } else if (current != null) {
      current.endOverdueRefusal(now);
      if (current == attempt && current.hasStalled(now)) {
        tryOtherPath(current, now);
      }
    }
  }

  /** Sends the request on another path too, if there is one and the route and budget allow it. */
  private void tryOtherPath(Attempt from, long now) {
    Service chosen = service;
    if (chosen == null || !counts.mayTryBeside(route)) {
      return;
    }
    Set<String> suspects = context.faults().suspects(from.path());
    excludedTargets.addAll(suspects);
    var choice = context.routing().acquireRetry(chosen, metadata, excludedTargets, now);
    if (choice.isEmpty()) {
      return;
    }
    if (suspects.contains(from.target().id())) {
      counts.recordDeadTarget();
    }
    log.pathSwitched("an engine on the path is at fault", lastEventId);
    stalled.keep(from);
    send(choice.get(), chosen.engine());
  }

  /** Called when the response of an attempt goes on. */
  void onProgress(Attempt from) {
    stalled.settle(from, attempt);
    attempt = from;
  }

  private boolean otherGoesOn(Attempt failed, boolean possibleRun) {
    attempt = stalled.afterFailure(failed, attempt, possibleRun);
    return attempt != null;
  }

  /** Handles a refusal: the target has not run the request and never will. */
  void onRefused(Attempt from, HttpResponse response) {
    Optional<String> faulty = context.dialect().faultyAddress(response);
    faulty.ifPresent(
        address -> context.faults().markSuspect(address, "a refusal names it as faulty"));
    if (faulty.isEmpty() || from.path().isEmpty()) {
      excludedTargets.add(from.target().id());
    }
    log.refusedByTarget(from.target().id(), response.status().code(), faulty.orElse(""));
    retryAfterRefusal(from, "targets refused the request");
  }

  /** Handles a failed connection: nothing of the request reached the target. */
  void onNotSent(Attempt from, String reason) {
    context.faults().markSuspect(from.target().address(), reason);
    excludedTargets.add(from.target().id());
    retryAfterRefusal(from, "no target could be reached");
  }

  private void retryAfterRefusal(Attempt from, String reason) {
    counts.recordRefusal();
    if (otherGoesOn(from, false)) {
      return;
    } else if (counts.refusalLimitReached()) {
      giveUp(reason, RetryAfter.SECONDS);
    } else {
      tryNextTarget();
    }
  }

  /** Handles an incomplete or unauthenticated response: the request may have run. */
  void onResponseLost(Attempt from, boolean staleConnection, String reason) {
    log.responseLost(from.target().id(), reason);
    if (staleConnection) {
      counts.recordDeadTarget();
    } else {
      excludedTargets.add(from.target().id());
      context.faults().recordLostResponse(from.target());
    }
    if (otherGoesOn(from, true)) {
      partGuard.afterLoss(from, () -> {});
      return;
    }
    boolean retry = counts.mayRetry(route);
    counts.recordPossibleRun();
    partGuard.afterLoss(
        from, retry ? this::tryNextTarget : () -> fail(HttpResponseStatus.BAD_GATEWAY, reason));
  }

  /** Fails a response that was partly sent to the caller and cannot be continued. */
  void onPartialResponseLost(String reason) {
    attempt = null;
    counts.recordPossibleRun();
    fail(HttpResponseStatus.BAD_GATEWAY, reason);
  }

  /** Retries a request after a 5xx status; returns false if the status is to be passed on. */
  boolean retryAfterServerError(Attempt from, HttpResponse response) {
    boolean failure = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    if (responseStarted || !failure) {
      return false;
    } else if (otherGoesOn(from, true)) {
      return true;
    } else if (!counts.mayRetry(route)) {
      return false;
    }
    counts.recordPossibleRun();
    excludedTargets.add(from.target().id());
    log.retriedAfterServerError(from.target().id(), response.status().code());
    tryNextTarget();
    return true;
  }

  void sendWholeResponse(HttpResponse response, ByteBuf content) {
    if (!finished) {
      partGuard.onAnswered();
    }
    if (finish("answered")) {
      caller.sendResponse(response.status(), HeaderCopies.ofResponse(response.headers()), content);
    } else {
      content.release();
    }
  }

  /** Sends a part of the response; the first part is preceded by the head. */
  void sendPart(HttpResponse response, ByteBuf content, @Nullable String eventId) {
    if (finished) {
      return;
    }
    if (!responseStarted) {
      responseStarted = true;
      partGuard.onAnswered();
      context.metrics().recordFirstEvent(routeName(), System.nanoTime() - receivedAt);
      caller.begin(response.status(), HeaderCopies.ofResponse(response.headers()));
    }
    if (route != null && attempt != null) {
      pauseLogger.recordPart(eventId, route.maxPauseMillis(), counts.sentCount(), attempt.path());
    }
    if (eventId != null) {
      lastEventId = eventId;
    }
    caller.writePart(content);
  }

  /** Flushes the parts; stops reading from the target while the caller does not read. */
  void flushParts() {
    if (finished) {
      return;
    }
    caller.flush();
    if (!caller.isWritable() && attempt != null) {
      attempt.setReading(false);
    }
  }

  /** Completes the response, or sends an empty one if no part was sent. */
  void completeResponse(HttpResponse response) {
    if (!responseStarted) {
      sendWholeResponse(response, Unpooled.EMPTY_BUFFER);
    } else if (finish("answered")) {
      caller.endResponse();
    }
  }

  @Nullable String lastEventId() {
    return lastEventId;
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

  /** Ends the request without a target's response: 503 if it has certainly not run, else 504. */
  void end(String reason) {
    if (counts.certainlyNotRun() && attempt == null) {
      refuse(reason, RetryAfter.SECONDS);
    } else {
      fail(HttpResponseStatus.GATEWAY_TIMEOUT, reason);
    }
  }

  /** Handles an error in this VM: the request ends unless a target is at work on it. */
  void onError(RuntimeException error) {
    log.failedInternally(error);
    if (attempt == null) {
      end("internal error");
    }
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
    HttpHeaders headers = RetryAfter.headers(context, retryAfterSeconds);
    endWithStatus("refused", HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
  }

  private void fail(HttpResponseStatus status, String reason) {
    endWithStatus("failed", status, HeaderCopies.empty(), reason);
  }

  private void endWithStatus(
      String outcome, HttpResponseStatus status, HttpHeaders headers, String reason) {
    boolean partlySent = responseStarted;
    if (!finish(outcome)) {
      return;
    }
    log.endedByProxy(outcome, routeName(), status, reason, counts);
    if (partlySent) {
      caller.abort();
    } else {
      caller.sendResponse(status, headers, Unpooled.EMPTY_BUFFER);
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
    stalled.cancel();
    body.release();
    context.metrics().recordEnd(routeName(), outcome, System.nanoTime() - receivedAt);
    return true;
  }

  private String routeName() {
    return route == null ? "" : route.name();
  }
}
