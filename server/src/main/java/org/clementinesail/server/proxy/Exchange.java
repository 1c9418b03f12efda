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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.Fleet;
import org.jspecify.annotations.Nullable;

/**
 * One request from its arrival to its ending: finds a target, repeats where that is allowed, and
 * tells the caller truthfully how it ended.
 */
final class Exchange {
  /** How long a request may wait for engines before its caller is told to come back. */
  private static final long MOST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Idle time up to which a kept connection carries a request that may not be repeated. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /**
   * When callers come back that were refused for want of engines, in seconds: spread over one to
   * two of these, about the time in which streams end and engines come back.
   */
  private static final double COME_BACK_SECONDS = 1.5;

  /** When callers come back to a VM that has just started and knows no desired state yet. */
  private static final double COME_BACK_TO_STARTED_SECONDS = 2.5;

  private final FrontContext context;
  private final CallerConnection caller;
  private final HttpRequest head;
  private final ByteBuf body;
  private final long receivedAt;
  private final CallerHead said;
  private final ExchangeLog log;
  private final PauseWatch pauses;
  private final Runs runs = new Runs();
  private final Set<String> excluded = new HashSet<>();
  private @Nullable Route route;
  private @Nullable Service service;
  private @Nullable String workspace;
  private long deadline = Long.MAX_VALUE;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable Attempt attempt;
  private boolean waiting;
  private boolean unresolved;
  private long resolvedAt;
  private boolean begun;
  private boolean over;
  private @Nullable String lastEventId;

  Exchange(
      FrontContext context,
      CallerConnection caller,
      HttpRequest head,
      ByteBuf body,
      long receivedAt) {
    this.context = context;
    this.caller = caller;
    this.head = head;
    this.body = body;
    this.receivedAt = receivedAt;
    this.said = context.dialect().read(head);
    this.log = new ExchangeLog(context.log(), said.id(), receivedAt);
    this.pauses = new PauseWatch(context, said.id());
    this.lastEventId = said.lastEventId();
  }

  void start() {
    resolve(System.nanoTime());
  }

  private void resolve(long now) {
    RequestResolver.Outcome outcome = RequestResolver.resolve(context.routing(), said, head.uri());
    if (outcome instanceof RequestResolver.Resolved resolved) {
      start(resolved);
    } else if (outcome instanceof RequestResolver.Denied denied) {
      endWith("denied", denied.status(), HeaderCopies.none(), denied.reason());
    } else {
      unresolved = context.startupWait().mayWait(now, receivedAt, said.patienceMillis());
      if (!unresolved) {
        refuse("no desired state is known yet", COME_BACK_TO_STARTED_SECONDS);
      }
    }
  }

  private void start(RequestResolver.Resolved resolved) {
    unresolved = false;
    resolvedAt = System.nanoTime();
    route = resolved.route();
    service = resolved.service();
    workspace = resolved.workspace();
    context.routing().budget(resolved.service().name()).recordFirstAttempt();
    long timeout = resolved.route().timeoutMillis();
    long patience = said.patienceMillis() < 0 ? timeout : Math.min(said.patienceMillis(), timeout);
    deadline = receivedAt + TimeUnit.MILLISECONDS.toNanos(patience);
    timer =
        context.loop().schedule(this::timedOut, deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
    next();
  }

  /** Sends the request to a next target, or waits for one, or gives up. */
  private void next() {
    Service chosen = service;
    if (over || chosen == null) {
      return;
    }
    long now = System.nanoTime();
    Optional<RoutingState.Choice> choice = context.routing().choose(chosen, said, excluded, now);
    if (choice.isPresent()) {
      waiting = false;
      send(choice.get(), chosen.engine());
    } else if (begun || now - resolvedAt < MOST_WAIT_NANOS) {
      waiting = true;
      excluded.clear();
    } else {
      giveUp("no target takes the request");
    }
  }

  private void send(RoutingState.Choice choice, @Nullable EngineModel model) {
    Fleet.Member first = choice.first();
    String name = first.statement().service();
    if (runs.sentCount() > 0 && !context.routing().budget(name).tryAcquireRetry()) {
      giveUp("the budget of repeated sendings is used up");
      return;
    }
    runs.sent();
    long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    Forwarding forwarding =
        new Forwarding(
            workspace, Math.max(1, left), first.statement().id(), choice.path(), lastEventId);
    FullHttpRequest request = TargetRequest.of(context.dialect(), head, body, forwarding);
    Route matched = route;
    boolean repeatable = matched != null && matched.repeatable();
    RoutingState.Need need =
        model == null ? new RoutingState.Need(0, 0) : RoutingState.Need.of(said, model);
    Attempt next = new Attempt(this, context, first.statement(), choice.path(), matched, model);
    attempt = next;
    next.begin(request, said.id(), repeatable ? Long.MAX_VALUE : FRESH_NANOS, need);
  }

  /** Looks at a request that waits for a target or for more of its answer. */
  void watch(long now) {
    if (over) {
      return;
    }
    if (unresolved) {
      resolve(now);
      return;
    }
    if (waiting) {
      next();
      return;
    }
    Attempt current = attempt;
    if (current == null || current.path().isEmpty()) {
      return;
    }
    long pause = now - current.progressAt();
    if (context.faults().stuck(current.path(), pause, current.usualPauseNanos())) {
      move(current, "an engine on the path is at fault");
    }
  }

  /** Continues an answer on another path, if that is allowed. */
  private void move(Attempt from, String reason) {
    if (!runs.again(route)) {
      return;
    }
    if (context.faults().suspect(from.target().id())) {
      runs.died();
    }
    log.moved(reason, lastEventId);
    from.cancel();
    from.path().stream()
        .filter(hop -> context.faults().suspect(hop.id()))
        .forEach(hop -> excluded.add(hop.id()));
    runs.mayHaveRun();
    attempt = null;
    next();
  }

  /** The target has not run the request and never will. */
  void refusedBy(Attempt from, HttpResponse response) {
    attempt = null;
    Optional<String> faulty = context.dialect().faultyAddress(response);
    faulty.ifPresent(address -> context.faults().blame(address, "named in a refusal"));
    if (faulty.isEmpty() || from.path().isEmpty()) {
      excluded.add(from.target().id());
    }
    runs.refused();
    log.refusedByTarget(from.target().id(), response.status().code(), faulty.orElse(""));
    if (runs.refusedOften()) {
      giveUp("targets refused the request");
    } else {
      next();
    }
  }

  /** Nothing of the request reached the target. */
  void notSentTo(Attempt from, String reason) {
    attempt = null;
    context.faults().blame(from.target().address(), reason);
    excluded.add(from.target().id());
    runs.refused();
    if (runs.refusedOften()) {
      giveUp("no target could be reached");
    } else {
      next();
    }
  }

  /** The answer broke off, or cannot be trusted; the request may have run. */
  void lostBy(Attempt from, boolean staleConnection, String reason) {
    attempt = null;
    log.answerLost(from.target().id(), reason);
    if (staleConnection) {
      runs.died();
    } else {
      excluded.add(from.target().id());
      context.faults().lostAnswer(from.target());
    }
    boolean again = runs.again(route);
    runs.mayHaveRun();
    if (again) {
      next();
    } else {
      fail(HttpResponseStatus.BAD_GATEWAY, reason);
    }
  }

  /** An answer that parts were sent of broke off and cannot be continued. */
  void cutOff(String reason) {
    attempt = null;
    runs.mayHaveRun();
    fail(HttpResponseStatus.BAD_GATEWAY, reason);
  }

  /** Returns whether a failure that a target gave may be replaced by another target's answer. */
  boolean repeatInstead(Attempt from, HttpResponse response) {
    boolean failure = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    if (begun || !failure || !runs.again(route)) {
      return false;
    }
    runs.mayHaveRun();
    excluded.add(from.target().id());
    attempt = null;
    log.repeatedAfterFailure(from.target().id(), response.status().code());
    next();
    return true;
  }

  void answered(HttpResponse response, ByteBuf content) {
    if (finish("answered")) {
      caller.answer(response.status(), HeaderCopies.ofAnswer(response.headers()), content);
    } else {
      content.release();
    }
  }

  /** The first part of an answer; later ones are sent without a head. */
  void part(HttpResponse response, ByteBuf content, @Nullable String eventId) {
    if (over) {
      return;
    }
    if (!begun) {
      begun = true;
      long now = System.nanoTime();
      context
          .metrics()
          .time("first_event_seconds{route=\"" + routeName() + "\"}", now - receivedAt);
      caller.begin(response.status(), HeaderCopies.ofAnswer(response.headers()));
    }
    if (route != null && attempt != null) {
      pauses.part(eventId, route.maxPauseMillis(), runs.sentCount(), attempt.path());
    }
    if (eventId != null) {
      lastEventId = eventId;
    }
    caller.send(content);
  }

  /** Makes the parts sent so far leave; holds the target back while the caller does not read. */
  void partsSent() {
    if (over) {
      return;
    }
    caller.flush();
    if (!caller.writable() && attempt != null) {
      attempt.reading(false);
    }
  }

  /** The answer that parts were sent of is whole. */
  void ended(HttpResponse response) {
    if (!begun) {
      answered(response, Unpooled.EMPTY_BUFFER);
    } else if (finish("answered")) {
      caller.end();
    }
  }

  @Nullable String lastEventId() {
    return lastEventId;
  }

  void callerWritable(boolean writable) {
    if (attempt != null) {
      attempt.reading(writable);
    }
  }

  void callerLeft() {
    if (finish("caller left")) {
      log.callerLeft();
    }
  }

  private void timedOut() {
    if (over) {
      return;
    }
    if (runs.none() && attempt == null) {
      refuse("no target took the request in time", COME_BACK_SECONDS);
    } else {
      fail(HttpResponseStatus.GATEWAY_TIMEOUT, "the time for the request is over");
    }
  }

  /** Ends a request that no target takes. */
  private void giveUp(String reason) {
    if (runs.none()) {
      refuse(reason, COME_BACK_SECONDS);
    } else {
      fail(HttpResponseStatus.BAD_GATEWAY, reason);
    }
  }

  private void refuse(String reason, double comeBackSeconds) {
    HttpHeaders headers = HeaderCopies.none();
    double seconds = comeBackSeconds * (1 + context.routing().random().nextDouble());
    context.dialect().comeBack(headers, seconds);
    endWith("refused", HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
  }

  private void fail(HttpResponseStatus status, String reason) {
    endWith("failed", status, HeaderCopies.none(), reason);
  }

  private void endWith(
      String outcome, HttpResponseStatus status, HttpHeaders headers, String reason) {
    boolean cutOff = begun;
    if (!finish(outcome)) {
      return;
    }
    log.ended(outcome, routeName(), status, reason, runs);
    if (cutOff) {
      caller.abort();
    } else {
      caller.answer(status, headers, Unpooled.EMPTY_BUFFER);
    }
  }

  private boolean finish(String outcome) {
    if (over) {
      return false;
    }
    over = true;
    if (timer != null) {
      timer.cancel(false);
    }
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
    body.release();
    String labels = "{route=\"" + routeName() + "\",outcome=\"" + outcome + "\"}";
    context.metrics().count("requests_total" + labels);
    context.metrics().time("request_seconds" + labels, System.nanoTime() - receivedAt);
    return true;
  }

  private String routeName() {
    return route == null ? "" : route.name();
  }
}
