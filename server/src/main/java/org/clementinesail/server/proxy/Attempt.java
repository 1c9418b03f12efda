package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.core.paths.LocalLoad;
import org.jspecify.annotations.Nullable;

/** One attempt of a request: sends it to a target and processes the response. */
final class Attempt implements ResponseListener {
  /** Responses up to this length are buffered, so that an incomplete one can be replaced. */
  private static final int MAX_BUFFERED_BYTES = 65_536;

  /** Longest event; a target that sends more without ending the event is at fault. */
  private static final int MAX_EVENT_BYTES = 1_048_576;

  /** Longest body of a refusal that is read so that the connection can be reused. */
  private static final int MAX_REFUSAL_BYTES = 65_536;

  /** Longest time for the body of a refusal; the status alone says that nothing has run. */
  private static final long MAX_REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Initial value of the usual pause, which applies while the target reads the prompt. */
  private static final long INITIAL_USUAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Divisor of the moving average: the newest pause has a weight of 1 in this many. */
  private static final int PAUSE_AVERAGE_DIVISOR = 4;

  private static final String EVENT_STREAM = "text/event-stream";

  private enum Mode {
    AWAITING_HEAD,
    REFUSED,
    BUFFERED,
    /** Longer than the buffer: parts are passed on, and the response cannot be replaced. */
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
  private List<LocalLoad.Assignment> assignments = List.of();
  private Mode mode = Mode.AWAITING_HEAD;
  private boolean finished;
  private int refusalBytes;
  private long refusedAt;
  private final long sentAt = System.nanoTime();
  private long lastProgressAt = sentAt;
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

  /** Returns the {@link System#nanoTime} at which the request was sent. */
  long sentAt() {
    return sentAt;
  }

  /** Returns the {@link System#nanoTime} of the last data from the target, or of the creation. */
  long lastProgressAt() {
    return lastProgressAt;
  }

  /** Returns the moving average of the pauses between parts of the response, in nanoseconds. */
  long usualPauseNanos() {
    return usualPauseNanos;
  }

  void start(
      FullHttpRequest request,
      String requestId,
      long maxIdleNanos,
      RoutingState.TokenEstimate estimate) {
    assignments =
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
    assignments.forEach(a -> context.routing().ownLoad().release(a));
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
    lastProgressAt = System.nanoTime();
    NoticeReader.read(context, target, response);
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (context.dialect().isRefusal(response)) {
      mode = Mode.REFUSED;
      refusedAt = lastProgressAt;
    } else if (success && !context.dialect().hasTargetProof(response)) {
      reportLostResponse(false, "success response without the proof header of a target");
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
    HttpResponse response = head;
    ByteBuf buffered = buffer;
    if (mode == Mode.EVENTS) {
      onEventBytes(content);
      return;
    }
    recordProgress();
    if (mode == Mode.REFUSED) {
      refusalBytes += content.readableBytes();
      if (refusalBytes > MAX_REFUSAL_BYTES) {
        endRefusal();
      }
    } else if (mode == Mode.BUFFERED && buffered != null) {
      buffered.writeBytes(content);
      if (buffered.readableBytes() > MAX_BUFFERED_BYTES && response != null) {
        mode = Mode.PASSED_ON;
        exchange.sendPart(response, buffered, null);
        buffered.release();
        buffer = null;
        exchange.flushParts();
      }
    } else if (mode == Mode.PASSED_ON && response != null) {
      exchange.sendPart(response, content, null);
      exchange.flushParts();
    }
  }

  /** Passes on complete events; only these are progress, not single bytes of an event. */
  private void onEventBytes(ByteBuf content) {
    if (splitter.feed(content) > 0) {
      recordProgress();
    }
    exchange.flushParts();
    if (!finished && splitter.incompleteEvent().readableBytes() > MAX_EVENT_BYTES) {
      reportLostResponse(false, "event without end");
    }
  }

  private void recordProgress() {
    long now = System.nanoTime();
    usualPauseNanos += (now - lastProgressAt - usualPauseNanos) / PAUSE_AVERAGE_DIVISOR;
    lastProgressAt = now;
  }

  /** Ends a refusal whose body does not end, and with it the connection. */
  void endOverdueRefusal(long now) {
    if (mode == Mode.REFUSED && !finished && now - refusedAt > MAX_REFUSAL_NANOS) {
      endRefusal();
    }
  }

  private void endRefusal() {
    HttpResponse response = Objects.requireNonNull(head);
    cancel();
    exchange.onRefused(this, response);
  }

  private void onEvent(ByteBuf event, @Nullable String id) {
    HttpResponse response = head;
    if (response != null && !finished && isNewEvent(id)) {
      exchange.sendPart(response, event, id);
    }
  }

  /** Returns whether an event has no id, a higher numeric id than the last, or another text id. */
  private boolean isNewEvent(@Nullable String id) {
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
    ByteBuf buffered = buffer;
    buffer = null;
    finish();
    if (buffered == null) {
      exchange.completeResponse(response);
    } else if (exchange.retryAfterServerError(this, response)) {
      buffered.release();
    } else {
      exchange.sendWholeResponse(response, buffered);
    }
  }

  private void completeEvents(HttpResponse response) {
    if (splitter.incompleteEvent().isReadable()) {
      reportLostResponse(false, "stream ended within an event");
      return;
    }
    finish();
    exchange.completeResponse(response);
  }

  @Override
  public void onFailure(FailureKind kind, String reason) {
    if (finished) {
      return;
    }
    if (mode == Mode.REFUSED && head != null) {
      // The status alone guarantees that the request has not run.
      finish();
      exchange.onRefused(this, head);
    } else if (mode == Mode.PASSED_ON) {
      finish();
      exchange.onPartialResponseLost(reason);
    } else if (kind == FailureKind.NOT_SENT) {
      finish();
      exchange.onNotSent(this, reason);
    } else {
      reportLostResponse(kind == FailureKind.STALE_CONNECTION, reason);
    }
  }

  private void reportLostResponse(boolean staleConnection, String reason) {
    TargetCall open = call;
    finish();
    if (open != null) {
      open.cancel();
    }
    exchange.onResponseLost(this, staleConnection, reason);
  }
}
