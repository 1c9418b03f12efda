package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.core.paths.LocalLoad;
import org.jspecify.annotations.Nullable;

/** One sending of a request to a target, and what comes back. */
final class Attempt implements ResponseListener {
  /** Answers up to this length are taken whole, so that a broken one can be replaced. */
  private static final int MAX_BUFFERED_BYTES = 65_536;

  /** Pause that is usual before an answer's own pauses are known, while its prompt is read. */
  private static final long INITIAL_USUAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Weight of the newest pause in the usual one. */
  private static final int PAUSE_AVERAGE_DIVISOR = 4;

  private static final String EVENT_STREAM = "text/event-stream";

  private enum Mode {
    AWAITING_HEAD,
    REFUSED,
    BUFFERED,
    PASSED_ON,
    EVENTS
  }

  private final Exchange exchange;
  private final ProxyContext context;
  private final TargetStatement target;
  private final List<Hop> path;
  private final @Nullable Route route;
  private final @Nullable EngineModel model;
  private final EventSplitter splitter = new EventSplitter(this::onEvent);
  private @Nullable HttpResponse head;
  private @Nullable ByteBuf buffer;
  private @Nullable TargetCall call;
  private List<LocalLoad.Assignment> shares = List.of();
  private Mode mode = Mode.AWAITING_HEAD;
  private boolean finished;
  private long progressAt = System.nanoTime();
  private long usualPauseNanos = INITIAL_USUAL_PAUSE_NANOS;

  Attempt(
      Exchange exchange,
      ProxyContext context,
      TargetStatement target,
      List<Hop> path,
      @Nullable Route route,
      @Nullable EngineModel model) {
    this.exchange = exchange;
    this.context = context;
    this.target = target;
    this.path = path;
    this.route = route;
    this.model = model;
  }

  TargetStatement target() {
    return target;
  }

  List<Hop> path() {
    return path;
  }

  /** Returns when something last came from the target. */
  long progressAt() {
    return progressAt;
  }

  /** Returns the usual time between parts of the answer. */
  long usualPauseNanos() {
    return usualPauseNanos;
  }

  void start(
      FullHttpRequest request,
      String requestId,
      long maxIdleNanos,
      RoutingState.TokenEstimate estimate) {
    shares =
        model == null || path.isEmpty()
            ? List.of(context.routing().ownLoad().assign(target.id(), 0, System.nanoTime()))
            : context.routing().recordAssignment(path, model, estimate);
    TargetCall started =
        context.targetPool().send(target.address(), requestId, request, maxIdleNanos, this);
    call = started;
    if (finished) {
      started.cancel();
    }
  }

  void setReading(boolean reading) {
    if (call != null) {
      call.setReading(reading);
    }
  }

  void cancel() {
    if (!finished) {
      finish();
      if (call != null) {
        call.cancel();
      }
    }
  }

  private void finish() {
    finished = true;
    shares.forEach(share -> context.routing().ownLoad().release(share));
    if (buffer != null) {
      buffer.release();
      buffer = null;
    }
  }

  @Override
  public void onHead(HttpResponse response) {
    if (finished) {
      return;
    }
    head = response;
    progressAt = System.nanoTime();
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (context.dialect().isRefusal(response)) {
      mode = Mode.REFUSED;
    } else if (success && !context.dialect().hasTargetProof(response)) {
      loseResponse(false, "success without proof");
    } else if (success && isEventStream(response)) {
      mode = Mode.EVENTS;
    } else {
      mode = Mode.BUFFERED;
      buffer = Unpooled.buffer();
    }
  }

  private boolean isEventStream(HttpResponse response) {
    String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
    boolean stream = route != null && route.kind() == Route.Kind.STREAM;
    return stream && (type == null || type.startsWith(EVENT_STREAM));
  }

  @Override
  public void onContent(ByteBuf content) {
    if (finished) {
      return;
    }
    long now = System.nanoTime();
    usualPauseNanos += (now - progressAt - usualPauseNanos) / PAUSE_AVERAGE_DIVISOR;
    progressAt = now;
    HttpResponse response = head;
    ByteBuf gathered = buffer;
    if (mode == Mode.EVENTS) {
      splitter.feed(content);
      exchange.flushParts();
    } else if (mode == Mode.BUFFERED && gathered != null) {
      gathered.writeBytes(content);
      if (gathered.readableBytes() > MAX_BUFFERED_BYTES && response != null) {
        mode = Mode.PASSED_ON;
        exchange.sendPart(response, gathered, null);
        gathered.release();
        buffer = null;
        exchange.flushParts();
      }
    } else if (mode == Mode.PASSED_ON && response != null) {
      exchange.sendPart(response, content, null);
      exchange.flushParts();
    }
  }

  private void onEvent(ByteBuf event, @Nullable String id) {
    HttpResponse response = head;
    if (response != null && !finished && isNext(id)) {
      exchange.sendPart(response, event, id);
    }
  }

  /** Returns whether an event comes after the last one sent, where both have numbers. */
  private boolean isNext(@Nullable String id) {
    String last = exchange.lastEventId();
    if (id == null || last == null) {
      return true;
    }
    try {
      return Long.parseLong(id) > Long.parseLong(last);
    } catch (NumberFormatException e) {
      return !id.equals(last);
    }
  }

  @Override
  public void onComplete() {
    HttpResponse response = head;
    if (finished || response == null) {
      return;
    }
    switch (mode) {
      case REFUSED -> {
        finish();
        exchange.onRefused(this, response);
      }
      case BUFFERED -> completeBuffered(response);
      case EVENTS -> completeEvents(response);
      case PASSED_ON, AWAITING_HEAD -> {
        finish();
        exchange.completeResponse(response);
      }
    }
  }

  private void completeBuffered(HttpResponse response) {
    ByteBuf gathered = buffer;
    buffer = null;
    finish();
    if (gathered == null) {
      exchange.completeResponse(response);
    } else if (exchange.retryAfterServerError(this, response)) {
      gathered.release();
    } else {
      exchange.sendWholeResponse(response, gathered);
    }
  }

  private void completeEvents(HttpResponse response) {
    if (splitter.incompleteEvent().isReadable()) {
      loseResponse(false, "stream ended within an event");
      return;
    }
    finish();
    exchange.completeResponse(response);
  }

  @Override
  public void onFailure(FailureKind why, String reason) {
    if (finished) {
      return;
    }
    if (mode == Mode.REFUSED && head != null) {
      // The status alone promises that the request has not run.
      finish();
      exchange.onRefused(this, head);
    } else if (mode == Mode.PASSED_ON) {
      finish();
      exchange.onPartialResponseLost(reason);
    } else if (why == FailureKind.NOT_SENT) {
      finish();
      exchange.onNotSent(this, reason);
    } else {
      loseResponse(why == FailureKind.STALE_CONNECTION, reason);
    }
  }

  private void loseResponse(boolean staleConnection, String reason) {
    TargetCall open = call;
    finish();
    if (open != null) {
      open.cancel();
    }
    exchange.onResponseLost(this, staleConnection, reason);
  }
}
