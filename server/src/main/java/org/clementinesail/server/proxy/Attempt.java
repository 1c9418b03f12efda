package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.core.paths.LocalLoad;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.core.responses.ResponseHead;
import org.clementinesail.core.responses.ResponseProgress;
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

  /** Unrepeatable requests reuse no connection that is idle for longer: it may be stale. */
  private static final long MAX_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Initial value of the usual pause, which applies while the target reads the prompt. */
  private static final long INITIAL_USUAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Divisor of the moving average: the newest pause has a weight of 1 in this many. */
  private static final int PAUSE_AVERAGE_DIVISOR = 4;

  private final Exchange exchange;
  private final ProxyContext context;
  private final TargetStatement target;
  private final List<Hop> path;
  private final @Nullable PeerVm peer;
  private final @Nullable Route route;
  private final @Nullable EngineModel model;
  private final EventSplitter splitter = new EventSplitter(this::onEvent);
  private final @Nullable String runStart;
  private final boolean continued;
  private @Nullable HttpResponse head;
  private @Nullable ByteBuf buffer;
  private final BufferLimit.Reservation reservation;
  private @Nullable TargetCall call;
  private List<LocalLoad.Assignment> assignments = List.of();
  private ResponseMode mode = ResponseMode.AWAITING_HEAD;
  private boolean finished;
  private int refusalBytes;
  private long refusedAt;
  private final long sentAt = System.nanoTime();
  private long lastProgressAt = sentAt;
  private long usualPauseNanos = INITIAL_USUAL_PAUSE_NANOS;

  Attempt(
      Exchange exchange,
      ProxyContext context,
      Destination destination,
      @Nullable Route route,
      @Nullable EngineModel model) {
    this.exchange = exchange;
    this.context = context;
    this.target = destination.firstTarget().statement();
    this.path = destination.path();
    this.peer = destination.peer();
    this.route = route;
    this.model = model;
    this.reservation = context.buffers().reservation();
    this.runStart = exchange.sender().progress().lastEventId();
    this.continued = exchange.sender().progress().started();
  }

  TargetStatement target() {
    return target;
  }

  List<Hop> path() {
    return path;
  }

  /** Returns the VM that serves the request in place of this one, or null. */
  @Nullable PeerVm peer() {
    return peer;
  }

  /** Returns the {@link System#nanoTime} of the last part of the response, or of the request. */
  long lastProgressAt() {
    return lastProgressAt;
  }

  @Nullable Route route() {
    return route;
  }

  /** Returns the {@link System#nanoTime} at which the request was sent. */
  long sentAt() {
    return sentAt;
  }

  /**
   * Returns whether the response has stalled at a suspect engine and may be continued by another
   * attempt; a response other than a stream may not once a part of it has been passed on.
   */
  boolean hasStalled(long now) {
    return !path.isEmpty()
        && mode != ResponseMode.PASSED_ON
        && context.faults().shouldSwitchPath(path, now - lastProgressAt, usualPauseNanos);
  }

  void start(FullHttpRequest request, RequestMetadata metadata, boolean newConnection) {
    boolean repeatable = route != null && route.repeatable();
    long maxIdleNanos = newConnection ? 0 : repeatable ? Long.MAX_VALUE : MAX_IDLE_NANOS;
    var estimate = TokenEstimate.of(metadata, model);
    assignments =
        model == null || path.isEmpty()
            ? List.of(context.routing().ownLoad().assign(target.id(), 0, System.nanoTime()))
            : context.routing().recordAssignment(path, model, estimate);
    context.peers().recordBegin(peer);
    TargetCall started =
        context.targetPool().send(target.address(), metadata.id(), request, maxIdleNanos, this);
    call = started;
    if (finished) {
      started.cancel();
    }
  }

  /** Takes a whole response that waits for bytes after it. */
  void endWait() {
    if (call != null) {
      call.endWait();
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
    assignments.forEach(a -> context.routing().ownLoad().release(a, System.nanoTime()));
    if (head != null && mode != ResponseMode.REFUSED) {
      context.routing().admission().requestEnded(target.service(), target.id());
    }
    context.peers().recordEnd(peer);
    reservation.release();
    if (buffer != null) {
      buffer.release();
      buffer = null;
    }
  }

  @Override
  public void onHead(HttpResponse response) {
    if (!finished) {
      exchange.guard(() -> acceptHead(response));
    }
  }

  private void acceptHead(HttpResponse response) {
    head = response;
    lastProgressAt = System.nanoTime();
    context.peers().recordHeard(this);
    if (peer != null && RelayHeaders.isOfVm(response) && !RelayHeaders.isNotRun(response)) {
      cancel();
      exchange.failures().onOtherVmFailed(this);
      return;
    }
    boolean streamRoute = route != null && route.kind() == Route.Kind.STREAM;
    ResponseHead read =
        peer == null
            ? HeadReader.ofTarget(context, target, sentAt, response)
            : HeadReader.ofPeer(context, sentAt, response);
    switch (read.use(streamRoute, exchange.sender().progress())) {
      case REFUSAL -> {
        mode = ResponseMode.REFUSED;
        refusedAt = lastProgressAt;
      }
      case UNPROVEN ->
          reportLostResponse(false, "success response without the proof header of a target");
      case NO_CONTINUATION ->
          reportNoContinuation("status " + response.status().code() + ", no rest of the stream");
      case EVENTS -> mode = ResponseMode.EVENTS;
      case WHOLE -> {
        mode = ResponseMode.BUFFERED;
        buffer = Unpooled.buffer();
      }
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    if (!finished) {
      exchange.guard(() -> acceptContent(content));
    }
  }

  private void acceptContent(ByteBuf content) {
    HttpResponse response = head;
    ByteBuf buffered = buffer;
    context.peers().recordHeard(this);
    if (mode == ResponseMode.EVENTS) {
      onEventBytes(content);
      return;
    }
    recordProgress();
    if (mode == ResponseMode.REFUSED) {
      refusalBytes += content.readableBytes();
      if (refusalBytes > MAX_REFUSAL_BYTES) {
        endRefusal();
      }
    } else if (mode == ResponseMode.BUFFERED && buffered != null) {
      buffered.writeBytes(content);
      int size = buffered.readableBytes();
      boolean full = size > MAX_BUFFERED_BYTES || !reservation.resize(size);
      if (full && response != null) {
        reservation.release();
        mode = ResponseMode.PASSED_ON;
        exchange.onProgress(this);
        exchange.sender().sendBytes(this, response, buffered);
        buffered.release();
        buffer = null;
        exchange.sender().flush(this);
      }
    } else if (mode == ResponseMode.PASSED_ON && response != null) {
      exchange.sender().sendBytes(this, response, content);
      exchange.sender().flush(this);
    }
  }

  /** Passes on complete events; only these are progress, not single bytes of an event. */
  private void onEventBytes(ByteBuf content) {
    if (splitter.feed(content) > 0) {
      recordProgress();
    }
    if (finished) {
      return;
    }
    exchange.sender().flush(this);
    int pending = splitter.rest().readableBytes();
    if (pending > MAX_EVENT_BYTES) {
      reportLostResponse(false, "event without end");
    } else if (!reservation.resize(pending)) {
      reportLostResponse(false, "no memory for a long event is left");
    }
  }

  private void recordProgress() {
    long now = System.nanoTime();
    usualPauseNanos += (now - lastProgressAt - usualPauseNanos) / PAUSE_AVERAGE_DIVISOR;
    lastProgressAt = now;
  }

  /** Ends a refusal whose body does not end, and a connect while this VM is cut off. */
  void checkProgress(long now) {
    if (!finished && context.peers().isCutOff(this) && call != null && call.cancelUnsent()) {
      acceptFailure(FailureKind.NOT_SENT, "this VM is cut off from the service");
    } else if (mode == ResponseMode.REFUSED && !finished && now - refusedAt > MAX_REFUSAL_NANOS) {
      endRefusal();
    }
  }

  private void endRefusal() {
    HttpResponse response = Objects.requireNonNull(head);
    cancel();
    exchange.failures().onRefused(this, response);
  }

  private void onEvent(EventSplitter.Event event) {
    HttpResponse response = head;
    if (response == null || finished) {
      return;
    }
    if (EventCheck.endsWithHead(context.dialect(), event.bytes())) {
      reportLostResponse(false, "an event ends with the head of another response");
      return;
    }
    if (event.comment()) {
      exchange.onProgress(this);
      exchange.sender().sendComment(this, response, event.bytes());
      return;
    }
    switch (ResponseProgress.use(event.id(), runStart, continued)) {
      case SEND -> {
        exchange.onProgress(this);
        exchange.sender().sendEvent(this, response, event.bytes(), event.id());
      }
      case SKIP -> {}
      case UNKNOWN_PLACE -> reportNoContinuation("an event without a number as its id");
    }
  }

  @Override
  public void onComplete() {
    HttpResponse response = head;
    if (!finished && response != null) {
      exchange.guard(() -> complete(response));
    }
  }

  private void complete(HttpResponse response) {
    context.routing().locality().recordCall(this, response.status().code());
    switch (mode) {
      case REFUSED -> {
        finish();
        exchange.failures().onRefused(this, response);
      }
      case BUFFERED -> completeBuffered(response);
      case EVENTS -> completeEvents(response);
      case PASSED_ON, AWAITING_HEAD -> {
        finish();
        exchange.onProgress(this);
        exchange.completeResponse(this, response);
      }
    }
  }

  private void completeBuffered(HttpResponse response) {
    ByteBuf buffered = buffer;
    buffer = null;
    finish();
    if (buffered == null) {
      exchange.onProgress(this);
      exchange.completeResponse(this, response);
    } else if (exchange.failures().retryAfterServerError(this, response)) {
      buffered.release();
    } else {
      exchange.onProgress(this);
      exchange.sendWholeResponse(this, response, buffered);
    }
  }

  private void completeEvents(HttpResponse response) {
    if (splitter.withinEvent()) {
      reportLostResponse(false, "stream ended within an event");
      return;
    }
    exchange.onProgress(this);
    if (splitter.rest().isReadable()) {
      exchange.sender().sendComment(this, response, splitter.rest());
    }
    finish();
    exchange.completeResponse(this, response);
  }

  @Override
  public void onFailure(FailureKind kind, String reason) {
    if (!finished) {
      exchange.guard(() -> acceptFailure(kind, reason));
    }
  }

  private void acceptFailure(FailureKind kind, String reason) {
    if (mode == ResponseMode.REFUSED && head != null) {
      // The status alone guarantees that the request has not run.
      finish();
      exchange.failures().onRefused(this, head);
    } else if (mode == ResponseMode.PASSED_ON) {
      finish();
      exchange.failures().onPartialResponseLost(this, reason);
    } else if (kind == FailureKind.NOT_SENT) {
      finish();
      exchange.failures().onNotSent(this, reason);
    } else {
      reportLostResponse(kind == FailureKind.STALE_CONNECTION, reason);
    }
  }

  private void reportNoContinuation(String reason) {
    cancel();
    exchange.failures().onNoContinuation(this, reason);
  }

  private void reportLostResponse(boolean staleConnection, String reason) {
    cancel();
    exchange.failures().onResponseLost(this, staleConnection, reason);
  }
}
