package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.desired.Workspace;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.paths.Hop;
import org.jspecify.annotations.Nullable;

/**
 * One request from its arrival to its ending: finds a target, repeats where that is allowed, and
 * tells the caller truthfully how it ended.
 */
final class Exchange {
  /** Targets that may refuse a request before the caller is told to come back. */
  private static final int MOST_REFUSALS = 4;

  /** Runs beyond the route's attempts that targets may cost which died with them. */
  private static final int MOST_LOST_RUNS = 2;

  /** Pause in an answer after which its first engine is asked whether it is stuck. */
  private static final long ASK_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  /** Pause in an answer after which it moves away from a target that is known to be stuck. */
  private static final long MOVE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** How long a target at fault is set aside; about the time that a crashed one is away. */
  private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(3);

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
  private final Set<String> excluded = new HashSet<>();
  private @Nullable Route route;
  private @Nullable Service service;
  private @Nullable String workspace;
  private long deadline = Long.MAX_VALUE;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable Attempt attempt;
  private boolean waiting;
  private int sent;
  private int refusals;
  private int mayHaveRun;
  private int lostRuns;
  private boolean begun;
  private long lastPartAt;
  private boolean pauseNoted;
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
    this.lastEventId = said.lastEventId();
  }

  void start() {
    Optional<DesiredState> known = context.routing().desired();
    if (known.isEmpty()) {
      refuse("no desired state is known yet", COME_BACK_TO_STARTED_SECONDS);
      return;
    }
    DesiredState desired = known.get();
    Optional<Route> found = desired.route(said.host(), path());
    if (found.isEmpty()) {
      deny(HttpResponseStatus.NOT_FOUND, "no route", desired);
      return;
    }
    Route matched = found.get();
    if (desired.keysRequired() && !matched.open()) {
      Optional<Workspace> holder = Optional.ofNullable(said.key()).flatMap(desired::workspace);
      if (holder.isEmpty()) {
        deny(HttpResponseStatus.UNAUTHORIZED, "unknown key", desired);
        return;
      }
      workspace = holder.get().name();
    }
    route = matched;
    service =
        desired.service(matched.service(context.routing().random().nextDouble())).orElseThrow();
    context.routing().budget(service.name()).requested();
    long patience =
        said.patienceMillis() < 0
            ? matched.timeoutMillis()
            : Math.min(said.patienceMillis(), matched.timeoutMillis());
    deadline = receivedAt + TimeUnit.MILLISECONDS.toNanos(patience);
    timer =
        context.loop().schedule(this::timedOut, deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
    next();
  }

  private String path() {
    int query = head.uri().indexOf('?');
    return query < 0 ? head.uri() : head.uri().substring(0, query);
  }

  /** Sends the request to a next target, or waits for one, or gives up. */
  private void next() {
    Route matched = route;
    Service chosen = service;
    if (over || matched == null || chosen == null) {
      return;
    }
    long now = System.nanoTime();
    EngineModel model = chosen.engine();
    List<Hop> path = List.of();
    Fleet.Member first = null;
    if (model != null) {
      path = context.routing().path(chosen.name(), model, need(model), excluded, now).orElse(path);
      first = path.isEmpty() ? null : context.routing().fleet().member(path.get(0).id()).get();
    } else {
      first = context.routing().server(chosen.name(), excluded, now).orElse(null);
    }
    if (first != null) {
      waiting = false;
      send(first, path, model);
    } else if (begun || now - receivedAt < MOST_WAIT_NANOS) {
      waiting = true;
      excluded.clear();
    } else {
      giveUp("no target takes the request");
    }
  }

  private RoutingState.Need need(EngineModel model) {
    int answer = said.answerHint() > 0 ? said.answerHint() : model.usualAnswerTokens();
    int most = said.answerTokens() > 0 ? said.answerTokens() : Integer.MAX_VALUE;
    int prompt = said.promptTokens() > 0 ? said.promptTokens() : model.usualPromptTokens();
    return new RoutingState.Need(prompt, Math.min(answer, most));
  }

  private void send(Fleet.Member first, List<Hop> path, @Nullable EngineModel model) {
    if (sent > 0 && !context.routing().budget(serviceName()).tryRetry()) {
      giveUp("the budget of repeated sendings is used up");
      return;
    }
    sent++;
    long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    Forwarding forwarding =
        new Forwarding(workspace, Math.max(1, left), first.statement().id(), path, lastEventId);
    HttpHeaders headers = HeaderCopies.ofRequest(head.headers(), body.readableBytes());
    context.dialect().address(headers, forwarding);
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            head.method(),
            head.uri(),
            body.retainedDuplicate(),
            headers,
            HeaderCopies.none());
    Route matched = route;
    boolean repeatable = matched != null && matched.repeatable();
    RoutingState.Need need = model == null ? new RoutingState.Need(0, 0) : need(model);
    Attempt next = new Attempt(this, context, first.statement(), path, matched, model);
    attempt = next;
    next.begin(request, said.id(), repeatable ? Long.MAX_VALUE : FRESH_NANOS, need);
  }

  /** Looks at a request that waits for a target or for more of its answer. */
  void watch(long now) {
    if (over) {
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
    if (pause > MOVE_AFTER_NANOS && stuck(current, now)) {
      move(current, "an engine on the path is at fault");
    } else if (pause > ASK_AFTER_NANOS) {
      ask(current);
    }
  }

  private boolean stuck(Attempt current, long now) {
    return current.path().stream()
        .map(hop -> context.routing().fleet().member(hop.id()))
        .anyMatch(member -> member.map(m -> m.suspect(now)).orElse(true));
  }

  private void ask(Attempt current) {
    Hop first = current.path().get(0);
    context
        .probe()
        .ask(first.id(), first.address(), answer -> learned(first, answer, System.nanoTime()));
  }

  private void learned(Hop first, EngineProbe.Answer answer, long now) {
    RoutingState routing = context.routing();
    if (answer instanceof EngineProbe.Silent silent) {
      context.log().write("engine silent", "target", first.id(), "reason", silent.reason());
      routing.reported(silent.report(), now + SUSPECT_NANOS);
    } else if (answer instanceof EngineProbe.Reported reported) {
      routing.reported(reported.detail().report(), now);
      for (EngineDialect.Stall stall : reported.detail().stalls()) {
        blame(stall.address(), "requests are stuck behind it", now);
      }
    }
  }

  private void blame(String address, String reason, long now) {
    context
        .routing()
        .fleet()
        .at(address)
        .ifPresent(
            member -> {
              String id = member.statement().id();
              if (!member.suspect(now)) {
                context.log().write("target set aside", "target", id, "reason", reason);
              }
              context.routing().fleet().suspect(id, now + SUSPECT_NANOS);
            });
  }

  /** Continues an answer on another path, if that is allowed. */
  private void move(Attempt from, String reason) {
    if (!mayRunAgain()) {
      return;
    }
    if (suspect(from.target().id())) {
      lostRuns++;
    }
    context
        .log()
        .write(
            "moved",
            "request",
            said.id(),
            "reason",
            reason,
            "after_event",
            String.valueOf(lastEventId));
    from.cancel();
    from.path().stream().filter(hop -> suspect(hop.id())).forEach(hop -> excluded.add(hop.id()));
    mayHaveRun++;
    attempt = null;
    next();
  }

  private boolean suspect(String id) {
    long now = System.nanoTime();
    return context.routing().fleet().member(id).map(m -> m.suspect(now)).orElse(true);
  }

  private boolean mayRunAgain() {
    Route matched = route;
    if (matched == null || !matched.repeatable()) {
      return false;
    }
    return mayHaveRun + 1 < matched.maxAttempts() + Math.min(lostRuns, MOST_LOST_RUNS);
  }

  // What an attempt tells.

  /** The target has not run the request and never will. */
  void refusedBy(Attempt from, HttpResponse response) {
    attempt = null;
    long now = System.nanoTime();
    Optional<String> faulty = context.dialect().faultyAddress(response);
    faulty.ifPresent(address -> blame(address, "named in a refusal", now));
    if (faulty.isEmpty() || from.path().isEmpty()) {
      excluded.add(from.target().id());
    }
    refusals++;
    context
        .log()
        .write(
            "refused by target",
            "request",
            said.id(),
            "target",
            from.target().id(),
            "status",
            response.status().code(),
            "at_fault",
            faulty.orElse(""));
    if (refusals >= MOST_REFUSALS) {
      giveUp("targets refused the request");
    } else {
      next();
    }
  }

  /** Nothing of the request reached the target. */
  void notSentTo(Attempt from, String reason) {
    attempt = null;
    long now = System.nanoTime();
    blame(from.target().address(), reason, now);
    excluded.add(from.target().id());
    refusals++;
    if (refusals >= MOST_REFUSALS) {
      giveUp("no target could be reached");
    } else {
      next();
    }
  }

  /** The answer broke off, or cannot be trusted; the request may have run. */
  void lostBy(Attempt from, boolean staleConnection, String reason) {
    attempt = null;
    context
        .log()
        .write("answer lost", "request", said.id(), "target", from.target().id(), "why", reason);
    if (!staleConnection) {
      excluded.add(from.target().id());
    } else {
      lostRuns++;
    }
    mayHaveRun++;
    Route matched = route;
    int most = matched == null ? 1 : matched.maxAttempts() + Math.min(lostRuns, MOST_LOST_RUNS);
    if (matched != null && matched.repeatable() && mayHaveRun < most) {
      next();
    } else {
      fail(HttpResponseStatus.BAD_GATEWAY, reason);
    }
  }

  /** An answer that parts were sent of broke off and cannot be continued. */
  void cutOff(String reason) {
    attempt = null;
    mayHaveRun++;
    fail(HttpResponseStatus.BAD_GATEWAY, reason);
  }

  /** Returns whether a failure that a target gave may be replaced by another target's answer. */
  boolean repeatInstead(Attempt from, HttpResponse response) {
    boolean failure = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    if (begun || !failure || !mayRunAgain()) {
      return false;
    }
    mayHaveRun++;
    excluded.add(from.target().id());
    attempt = null;
    context
        .log()
        .write(
            "repeated after failure",
            "request",
            said.id(),
            "target",
            from.target().id(),
            "status",
            response.status().code());
    next();
    return true;
  }

  /** A whole answer. */
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
    notePause(eventId);
    if (eventId != null) {
      lastEventId = eventId;
    }
    caller.send(content);
  }

  /** Logs a pause that makes the answer late, once, with the path that it came over. */
  private void notePause(@Nullable String eventId) {
    long now = System.nanoTime();
    long pauseMs = TimeUnit.NANOSECONDS.toMillis(now - lastPartAt);
    boolean first = lastPartAt == 0;
    lastPartAt = now;
    Route matched = route;
    Attempt current = attempt;
    boolean late =
        !first
            && !pauseNoted
            && matched != null
            && matched.maxPauseMillis() > 0
            && pauseMs > matched.maxPauseMillis();
    if (late && current != null) {
      pauseNoted = true;
      context
          .log()
          .write(
              "late pause",
              "request",
              said.id(),
              "event",
              eventId,
              "pause_ms",
              pauseMs,
              "sent",
              sent,
              "path",
              describe(current.path()));
    }
  }

  private String describe(List<Hop> path) {
    StringJoiner text = new StringJoiner(" ");
    for (Hop hop : path) {
      String kind =
          context
              .routing()
              .fleet()
              .member(hop.id())
              .map(m -> m.statement().accelerator())
              .orElse("?");
      text.add(hop.dataCentre() + "/" + kind + "/" + hop.layers());
    }
    return text.toString();
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

  /** The caller has closed its connection. */
  void callerLeft() {
    if (finish("caller left")) {
      context.log().write("caller left", "request", said.id(), "after_ms", ageMillis());
    }
  }

  // Endings of our own.

  private void timedOut() {
    if (over) {
      return;
    }
    if (mayHaveRun == 0 && attempt == null) {
      refuse("no target took the request in time", COME_BACK_SECONDS);
    } else {
      fail(HttpResponseStatus.GATEWAY_TIMEOUT, "the time for the request is over");
    }
  }

  /** Ends a request that no target takes. */
  private void giveUp(String reason) {
    if (mayHaveRun == 0) {
      refuse(reason, COME_BACK_SECONDS);
    } else {
      fail(HttpResponseStatus.BAD_GATEWAY, reason);
    }
  }

  private void refuse(String reason, double comeBackSeconds) {
    HttpHeaders headers = HeaderCopies.none();
    double seconds = comeBackSeconds * (1 + context.routing().random().nextDouble());
    context.dialect().comeBack(headers, seconds);
    if (finish("refused")) {
      ended("refused", HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
      caller.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
    }
  }

  private void deny(HttpResponseStatus status, String reason, DesiredState desired) {
    if (finish("denied")) {
      ended("denied", status, reason + "; desired state " + desired.version());
      caller.answer(status, HeaderCopies.none(), Unpooled.EMPTY_BUFFER);
    }
  }

  private void fail(HttpResponseStatus status, String reason) {
    boolean cutOff = begun;
    if (finish("failed")) {
      ended("failed", status, reason);
      if (cutOff) {
        caller.abort();
      } else {
        caller.answer(status, HeaderCopies.none(), Unpooled.EMPTY_BUFFER);
      }
    }
  }

  private void ended(String event, HttpResponseStatus status, String reason) {
    context
        .log()
        .write(
            event,
            "request",
            said.id(),
            "route",
            routeName(),
            "status",
            status.code(),
            "reason",
            reason,
            "sent",
            sent,
            "may_have_run",
            mayHaveRun,
            "after_ms",
            ageMillis());
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

  private long ageMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - receivedAt);
  }

  private String routeName() {
    return route == null ? "" : route.name();
  }

  private String serviceName() {
    return service == null ? "" : service.name();
  }
}
