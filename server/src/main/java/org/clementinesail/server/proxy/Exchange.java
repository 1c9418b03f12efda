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
import org.clementinesail.core.fleet.Fleet;
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
  private final PauseLogger pauseLogger;
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
        context.loop().schedule(this::expire, deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
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
      send(choice.get(), chosen.engine());
    } else if (responseStarted || now - resolvedAt < MAX_TARGET_WAIT_NANOS) {
      awaitingTarget = true;
      excludedTargets.clear();
    } else {
      giveUp("no target is available", RETRY_AFTER_SECONDS);
    }
  }

  private void send(RoutingState.Destination choice, @Nullable EngineModel model) {
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
        new ForwardingInfo(workspace, millis, first.statement().id(), choice.path(), lastEventId);
    FullHttpRequest request = TargetRequest.of(context.dialect(), head, body, forwardingInfo);
    boolean repeatable = route != null && route.repeatable();
    var estimate = RoutingState.TokenEstimate.of(metadata, model);
    Attempt next = new Attempt(this, context, first.statement(), choice.path(), route, model);
    attempt = next;
    next.start(request, metadata.id(), repeatable ? Long.MAX_VALUE : MAX_IDLE_NANOS, estimate);
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
    if (!counts.mayRetry(route)) {
      return;
    }
    if (context.faults().isSuspect(from.target().id())) {
      counts.recordDeadTarget();
    }
    log.pathSwitched(reason, lastEventId);
    from.cancel();
    from.path().stream()
        .filter(hop -> context.faults().isSuspect(hop.id()))
        .forEach(hop -> excludedTargets.add(hop.id()));
    counts.recordPossibleRun();
    attempt = null;
    tryNextTarget();
  }

  /** Handles a refusal: the target has not run the request and never will. */
  void onRefused(Attempt from, HttpResponse response) {
    attempt = null;
    Optional<String> faulty = context.dialect().faultyAddress(response);
    faulty.ifPresent(
        address -> context.faults().markSuspect(address, "a refusal names it as faulty"));
    if (faulty.isEmpty() || from.path().isEmpty()) {
      excludedTargets.add(from.target().id());
    }
    log.refusedByTarget(from.target().id(), response.status().code(), faulty.orElse(""));
    retryAfterRefusal("targets refused the request");
  }

  /** Handles a failed connection: nothing of the request reached the target. */
  void onNotSent(Attempt from, String reason) {
    attempt = null;
    context.faults().markSuspect(from.target().address(), reason);
    excludedTargets.add(from.target().id());
    retryAfterRefusal("no target could be reached");
  }

  private void retryAfterRefusal(String reason) {
    counts.recordRefusal();
    if (counts.refusalLimitReached()) {
      giveUp(reason, RETRY_AFTER_SECONDS);
    } else {
      tryNextTarget();
    }
  }

  /** Handles an incomplete or unauthenticated response: the request may have run. */
  void onResponseLost(Attempt from, boolean staleConnection, String reason) {
    attempt = null;
    log.responseLost(from.target().id(), reason);
    if (staleConnection) {
      counts.recordDeadTarget();
    } else {
      excludedTargets.add(from.target().id());
      context.faults().recordLostResponse(from.target());
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
    if (responseStarted || !failure || !counts.mayRetry(route)) {
      return false;
    }
    counts.recordPossibleRun();
    excludedTargets.add(from.target().id());
    attempt = null;
    log.retriedAfterServerError(from.target().id(), response.status().code());
    tryNextTarget();
    return true;
  }

  void sendWholeResponse(HttpResponse response, ByteBuf content) {
    if (!finished) {
      partGuard.onAnswered(response.status());
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
      partGuard.onAnswered(response.status());
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
    body.release();
    context.metrics().recordEnd(routeName(), outcome, System.nanoTime() - receivedAt);
    return true;
  }

  private String routeName() {
    return route == null ? "" : route.name();
  }
}
