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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.responses.ResponseProgress;
import org.jspecify.annotations.Nullable;

/**
 * Processes one caller's request: chooses a target, retries where the route allows it, and sends
 * the response or an error status that tells whether the request may have run.
 */
final class Exchange {

  private static final String FAILED = "failed";

  private final ProxyContext context;
  private final CallerConnection caller;
  private final HttpRequest head;
  private final RequestBody body;
  private final long receivedAt;
  private final RequestMetadata metadata;
  private final ExchangeLog log;
  private final PartGuard partGuard;
  private final ResponseSender sender;
  private final AttemptFailures failures;
  private final TargetChooser chooser;
  private final AdmissionTicket ticket;
  private final AttemptCounts counts;
  private final StalledAttempt stalled;
  private final Set<String> excludedTargets = new HashSet<>();
  private @Nullable Route route;
  private @Nullable Service service;
  private @Nullable String workspace;
  private long deadline = Long.MAX_VALUE;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable Attempt attempt;
  private boolean awaitingState;
  private final StepRunner steps;
  private boolean finished;

  Exchange(
      ProxyContext context,
      CallerConnection caller,
      HttpRequest head,
      RequestBody body,
      long receivedAt) {
    this.context = context;
    this.caller = caller;
    this.head = head;
    this.body = body;
    this.receivedAt = receivedAt;
    this.metadata = context.dialect().readMetadata(head);
    this.log = new ExchangeLog(context.log(), metadata.id(), receivedAt);
    this.counts = new AttemptCounts(context.relayed() ? RelayHeaders.earlierRuns(head) : 0);
    this.stalled = new StalledAttempt(counts);
    this.partGuard = new PartGuard(context.crashes(), head, body.bytes(), metadata);
    this.ticket =
        new AdmissionTicket(context, metadata, () -> guard(this::tryNextTarget), this::giveUp);
    this.chooser = new TargetChooser(context, metadata, partGuard, counts, excludedTargets, ticket);
    this.sender = new ResponseSender(context, caller, partGuard, counts, metadata, receivedAt);
    this.failures =
        new AttemptFailures(this, context, counts, excludedTargets, partGuard, chooser, log);
    this.steps =
        new StepRunner(
            log,
            this::giveUpUnsent,
            () -> fail(HttpResponseStatus.BAD_GATEWAY, "internal error"),
            () -> caller.abortIfCurrent(this),
            () -> finish(FAILED));
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
    long resolvedAt = System.nanoTime();
    long limit = resolved.route().timeoutMillis();
    long millis = metadata.timeoutMillis() < 0 ? limit : Math.min(metadata.timeoutMillis(), limit);
    deadline = receivedAt + TimeUnit.MILLISECONDS.toNanos(millis);
    if (!caller.mayBegin(resolvedAt, deadline)) {
      refuse("the VM stops before the deadline of the request", RetryAfter.STOP_SECONDS);
      return;
    }
    route = resolved.route();
    service = resolved.service();
    workspace = resolved.workspace();
    partGuard.resolved(resolved.service(), resolved.workspace());
    context.routing().retryBudget(resolved.service().name()).recordFirstAttempt();
    context.routing().demand().record(resolved.service().name(), resolvedAt);
    Runnable expiry = () -> guard(() -> end("the deadline of the request has passed"));
    int rank = context.relayed() ? RelayHeaders.rank(head, resolved.rank()) : resolved.rank();
    ticket.open(resolved, rank, resolvedAt, deadline);
    timer = context.loop().schedule(expiry, deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
    tryNextTarget();
  }

  /** Sends the request to a target, waits until one is available, or ends the request. */
  void tryNextTarget() {
    Service chosen = service;
    if (finished || chosen == null) {
      return;
    }
    long now = System.nanoTime();
    var decision = chooser.choose(chosen, progress().started(), now);
    if (decision instanceof TargetChooser.Send send) {
      failures.targetWait().end();
      ticket.admit(now);
      sendWithinBudget(send.destination(), chosen, false);
    } else if (decision instanceof TargetChooser.GiveUp giveUp) {
      giveUp(giveUp.reason(), giveUp.retryAfterSeconds());
    } else {
      if (progress().started()) {
        failures.targetWait().begin(now);
      }
      excludedTargets.clear();
    }
  }

  private void sendWithinBudget(Destination choice, Service chosen, boolean newConnection) {
    if (!counts.mayHaveArrived()
        || context.routing().retryBudget(chosen.name()).tryAcquireRetry()) {
      send(choice, chosen.engine(), newConnection);
    } else {
      ticket.takeBack(System.nanoTime());
      failures.retryLater(route, "the retry budget is used up", RetryAfter.SECONDS);
    }
  }

  private void send(Destination choice, @Nullable EngineModel model, boolean newConnection) {
    ForwardingInfo info =
        ForwardingInfo.of(choice, workspace, deadline, progress().lastEventId(), ticket.rank());
    FullHttpRequest request =
        TargetRequest.of(context, choice, head, body.bytes(), info, counts.runningTargets());
    log.sentTo(choice);
    counts.recordSent();
    context.routing().recordSent(choice.firstTarget(), System.nanoTime());
    partGuard.onSent();
    Attempt next = new Attempt(this, context, choice, route, model);
    attempt = next;
    next.start(request, metadata, newConnection);
  }

  /** Tries again to start a waiting request; tries another path beside a stalled response. */
  void checkProgress(long now) {
    Attempt current = attempt;
    if (finished) {
      return;
    } else if (awaitingState) {
      start(now);
    } else if (failures.targetWait().isOver(now) || ticket.isOver(now)) {
      tryNextTarget();
    } else if (current != null) {
      current.checkProgress(now);
      if (current == attempt
          && (current.hasStalled(now) || context.peers().isSilenced(current, now))) {
        tryOtherPath(current, now);
      }
    }
  }

  /** Sends the request on another path too, if there is one and the route and budget allow it. */
  private void tryOtherPath(Attempt from, long now) {
    Service chosen = service;
    if (chosen == null || counts.refusalLimitReached() || !failures.mayRetry(from)) {
      return;
    }
    Set<String> suspects = context.faults().suspects(from.path());
    excludedTargets.addAll(suspects);
    var choice = chooser.acquireRetry(chosen, now);
    if (choice.isEmpty()) {
      return;
    }
    failures.recordIfDead(from, choice.get(), suspects);
    log.pathSwitched(AttemptFailures.stallReason(from), progress().lastEventId());
    stalled.keep(from);
    send(choice.get(), chosen.engine(), false);
  }

  /** Called when the response of an attempt goes on. */
  void onProgress(Attempt from) {
    stalled.settle(from, attempt);
    attempt = from;
  }

  /** Returns whether another attempt of the request goes on after one has failed. */
  boolean otherGoesOn(Attempt failed, boolean possibleRun) {
    attempt = stalled.afterFailure(failed, attempt, possibleRun);
    onCallerWritabilityChanged(caller.isWritable());
    return attempt != null;
  }

  /** Forgets the current attempt, which has ended. */
  void endAttempt() {
    attempt = null;
  }

  /** Sends the request again on a new connection; returns false if its target takes none now. */
  boolean resend(Attempt from) {
    Service chosen = service;
    if (finished || chosen == null) {
      return true;
    }
    long now = System.nanoTime();
    String id = from.target().id();
    Optional<Destination> again = chooser.chooseAgain(chosen, from, now);
    if (again.isEmpty() || partGuard.refusedSeconds(now).isPresent()) {
      return false;
    }
    counts.recordResend(id);
    sendWithinBudget(again.get(), chosen, true);
    return true;
  }

  /** Sends a response whose body is known completely; releases the body. */
  void sendWholeResponse(Attempt from, HttpResponse response, ByteBuf content) {
    if (finished) {
      content.release();
      return;
    }
    partGuard.onAnswered(response.status());
    sender.sendWhole(from, response, content);
    finish("answered");
  }

  /** Completes the response, or sends an empty one if no part was sent. */
  void completeResponse(Attempt from, HttpResponse response) {
    if (!progress().started()) {
      sendWholeResponse(from, response, Unpooled.EMPTY_BUFFER);
    } else if (!finished) {
      partGuard.onAnswered(response.status());
      sender.end();
      finish("answered");
    }
  }

  AttemptFailures failures() {
    return failures;
  }

  AdmissionTicket ticket() {
    return ticket;
  }

  ResponseSender sender() {
    return sender;
  }

  private ResponseProgress progress() {
    return sender.progress();
  }

  void onCallerWritabilityChanged(boolean writable) {
    stalled.setReading(writable);
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  void onCallerDisconnected() {
    if (attempt != null) {
      partGuard.afterSilence(attempt);
    }
    if (finish("caller left")) {
      log.callerDisconnected();
    }
  }

  /** Ends the request without a target's response: 503 if it has certainly not run, else 504. */
  void end(String reason) {
    if (attempt != null) {
      attempt.endWait();
    }
    if (attempt != null && !finished) {
      partGuard.afterSilence(attempt);
    }
    if (counts.certainlyNotRun() && attempt == null) {
      refuse(reason, RetryAfter.SECONDS);
    } else {
      fail(HttpResponseStatus.GATEWAY_TIMEOUT, reason);
    }
  }

  /** Ends the request after its attempts have failed. */
  void giveUp(String reason) {
    giveUp(reason, RetryAfter.SECONDS);
  }

  /** Ends the request: 503 with Retry-After if it has certainly not run, else 502. */
  void giveUp(String reason, double retryAfterSeconds) {
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

  void fail(HttpResponseStatus status, String reason) {
    endWithStatus(FAILED, status, HeaderCopies.empty(), reason);
  }

  private void endWithStatus(
      String outcome, HttpResponseStatus status, HttpHeaders headers, String reason) {
    if (finished) {
      return;
    }
    log.endedByProxy(outcome, routeName(), status, reason, counts);
    if (context.relayed()) {
      context.dialect().setRequestId(headers, metadata.id());
      RelayHeaders.setOutcome(headers, !outcome.equals(FAILED));
    }
    if (progress().started()) {
      caller.abort();
    } else {
      caller.sendResponse(status, headers, Unpooled.EMPTY_BUFFER);
    }
    finish(outcome);
  }

  /** Runs a step of the request; an exception ends the request instead of leaving it open. */
  void guard(Runnable step) {
    steps.run(step);
  }

  /** Runs a periodic check; an exception ends the request unless a target is at work on it. */
  void guardCheck(Runnable check) {
    steps.check(check, () -> attempt != null);
  }

  private void giveUpUnsent() {
    if (counts.sentCount() == 0) {
      giveUp("internal error");
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
    ticket.close();
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
