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
final class Attempt implements AnswerListener {
  /** Answers up to this length are taken whole, so that a broken one can be replaced. */
  private static final int WHOLE_BYTES = 65_536;

  /** Pause that is usual before an answer's own pauses are known, while its prompt is read. */
  private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Weight of the newest pause in the usual one. */
  private static final int PAUSE_AVERAGED_OVER = 4;

  private static final String EVENT_STREAM = "text/event-stream";

  private enum Mode {
    HEAD,
    REFUSED,
    WHOLE,
    PARTS,
    EVENTS
  }

  private final Exchange exchange;
  private final FrontContext context;
  private final TargetStatement target;
  private final List<Hop> path;
  private final @Nullable Route route;
  private final @Nullable EngineModel model;
  private final EventSplitter splitter = new EventSplitter(this::event);
  private @Nullable HttpResponse head;
  private @Nullable ByteBuf whole;
  private @Nullable TargetCall call;
  private List<LocalLoad.Assignment> shares = List.of();
  private Mode mode = Mode.HEAD;
  private boolean over;
  private long progressAt = System.nanoTime();
  private long usualPauseNanos = FIRST_PAUSE_NANOS;

  Attempt(
      Exchange exchange,
      FrontContext context,
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

  void begin(FullHttpRequest request, String requestId, long maxIdleNanos, RoutingState.Need need) {
    shares =
        model == null || path.isEmpty()
            ? List.of(context.routing().own().assign(target.id(), 0, System.nanoTime()))
            : context.routing().assigned(path, model, need);
    TargetCall started =
        context.targets().send(target.address(), requestId, request, maxIdleNanos, this);
    call = started;
    if (over) {
      started.cancel();
    }
  }

  void reading(boolean reading) {
    if (call != null) {
      call.reading(reading);
    }
  }

  void cancel() {
    if (!over) {
      done();
      if (call != null) {
        call.cancel();
      }
    }
  }

  private void done() {
    over = true;
    shares.forEach(share -> context.routing().own().release(share));
    if (whole != null) {
      whole.release();
      whole = null;
    }
  }

  @Override
  public void head(HttpResponse response) {
    if (over) {
      return;
    }
    head = response;
    progressAt = System.nanoTime();
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (context.dialect().notRun(response)) {
      mode = Mode.REFUSED;
    } else if (success && !context.dialect().proved(response)) {
      lost(false, "success without proof");
    } else if (success && isEventStream(response)) {
      mode = Mode.EVENTS;
    } else {
      mode = Mode.WHOLE;
      whole = Unpooled.buffer();
    }
  }

  private boolean isEventStream(HttpResponse response) {
    String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
    boolean stream = route != null && route.kind() == Route.Kind.STREAM;
    return stream && (type == null || type.startsWith(EVENT_STREAM));
  }

  @Override
  public void content(ByteBuf content) {
    if (over) {
      return;
    }
    long now = System.nanoTime();
    usualPauseNanos += (now - progressAt - usualPauseNanos) / PAUSE_AVERAGED_OVER;
    progressAt = now;
    HttpResponse response = head;
    ByteBuf gathered = whole;
    if (mode == Mode.EVENTS) {
      splitter.feed(content);
      exchange.partsSent();
    } else if (mode == Mode.WHOLE && gathered != null) {
      gathered.writeBytes(content);
      if (gathered.readableBytes() > WHOLE_BYTES && response != null) {
        mode = Mode.PARTS;
        exchange.part(response, gathered, null);
        gathered.release();
        whole = null;
        exchange.partsSent();
      }
    } else if (mode == Mode.PARTS && response != null) {
      exchange.part(response, content, null);
      exchange.partsSent();
    }
  }

  private void event(ByteBuf event, @Nullable String id) {
    HttpResponse response = head;
    if (response != null && !over && isNext(id)) {
      exchange.part(response, event, id);
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
  public void end() {
    HttpResponse response = head;
    if (over || response == null) {
      return;
    }
    switch (mode) {
      case REFUSED -> {
        done();
        exchange.refusedBy(this, response);
      }
      case WHOLE -> endWhole(response);
      case EVENTS -> endEvents(response);
      case PARTS, HEAD -> {
        done();
        exchange.ended(response);
      }
    }
  }

  private void endWhole(HttpResponse response) {
    ByteBuf gathered = whole;
    whole = null;
    done();
    if (gathered == null) {
      exchange.ended(response);
    } else if (exchange.repeatInstead(this, response)) {
      gathered.release();
    } else {
      exchange.answered(response, gathered);
    }
  }

  private void endEvents(HttpResponse response) {
    if (splitter.rest().isReadable()) {
      lost(false, "stream ended within an event");
      return;
    }
    done();
    exchange.ended(response);
  }

  @Override
  public void broken(Breakage why, String reason) {
    if (over) {
      return;
    }
    if (mode == Mode.REFUSED && head != null) {
      // The status alone promises that the request has not run.
      done();
      exchange.refusedBy(this, head);
    } else if (mode == Mode.PARTS) {
      done();
      exchange.cutOff(reason);
    } else if (why == Breakage.NOT_SENT) {
      done();
      exchange.notSentTo(this, reason);
    } else {
      lost(why == Breakage.STALE_CONNECTION, reason);
    }
  }

  private void lost(boolean stale, String reason) {
    TargetCall open = call;
    done();
    if (open != null) {
      open.cancel();
    }
    exchange.lostBy(this, stale, reason);
  }
}
