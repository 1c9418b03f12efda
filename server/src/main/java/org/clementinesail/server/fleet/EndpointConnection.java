package org.clementinesail.server.fleet;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.ConnectionLimit;

/** A connection to an {@link HttpEndpoint}; handles its calls one at a time, in order. */
final class EndpointConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Maximum number of calls that wait for the current one; another closes the connection. */
  private static final int MAX_WAITING_CALLS = 16;

  private final EventLoop loop;
  private final DecisionLog log;
  private final HttpEndpoint.Handler handler;
  private final Runnable onAllAnswered;
  private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
  private boolean busy;
  private boolean ended;

  /**
   * Creates a connection.
   *
   * @param onAllAnswered is run when no call waits or is in progress any more
   */
  EndpointConnection(
      EventLoop loop, DecisionLog log, HttpEndpoint.Handler handler, Runnable onAllAnswered) {
    super(FullHttpRequest.class);
    this.onAllAnswered = onAllAnswered;
    this.loop = loop;
    this.log = log;
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (ended) {
      return;
    }
    ConnectionLimit.requestReceived(context.channel());
    if (waiting.size() >= MAX_WAITING_CALLS) {
      logFailure("too many calls at once", request.uri(), "connection closed");
      context.close();
      return;
    }
    waiting.addLast(request.retain());
    handleNext(context);
  }

  private void handleNext(ChannelHandlerContext context) {
    while (!busy && !ended && !waiting.isEmpty() && context.channel().isWritable()) {
      busy = true;
      FullHttpRequest request = waiting.removeFirst();
      try {
        handle(context, request);
      } finally {
        request.release();
      }
    }
  }

  private void handle(ChannelHandlerContext context, FullHttpRequest request) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (request.decoderResult().isFailure()) {
      Throwable cause = request.decoderResult().cause();
      logFailure("request not parsed", request.uri(), cause);
      boolean tooLong = cause instanceof TooLongHttpContentException;
      // Unless only the body is too long, the decoder has lost its place on the connection.
      reply(
          context,
          keepAlive && tooLong,
          status(
              tooLong
                  ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                  : HttpResponseStatus.BAD_REQUEST));
      return;
    }
    AtomicBoolean answered = new AtomicBoolean();
    try {
      handler.handle(
          request,
          response -> {
            if (answered.compareAndSet(false, true)) {
              reply(context, keepAlive, response);
            } else {
              response.release();
            }
          });
    } catch (RuntimeException | StackOverflowError e) {
      logFailure("request failed", request.uri(), e);
      if (answered.compareAndSet(false, true)) {
        reply(context, keepAlive, status(HttpResponseStatus.INTERNAL_SERVER_ERROR));
      }
    }
  }

  private void logFailure(String event, String uri, Object reason) {
    log.write(
        event,
        "uri",
        HttpEndpoint.loggable(uri),
        "reason",
        HttpEndpoint.loggable(String.valueOf(reason)));
  }

  private static FullHttpResponse status(HttpResponseStatus status) {
    return HttpEndpoint.text(status.code(), "text/plain", "");
  }

  private void reply(ChannelHandlerContext context, boolean keepAlive, FullHttpResponse response) {
    if (!loop.inEventLoop()) {
      loop.execute(() -> reply(context, keepAlive, response));
      return;
    }
    HttpUtil.setContentLength(response, response.content().readableBytes());
    if (!keepAlive) {
      ended = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ChannelFuture written = context.writeAndFlush(response);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    busy = false;
    written.addListener(
        sent -> {
          if (!busy && waiting.isEmpty()) {
            ConnectionLimit.callsEnded(context.channel());
          }
        });
    if (waiting.isEmpty()) {
      onAllAnswered.run();
    } else {
      loop.execute(() -> handleNext(context));
    }
  }

  /** Goes on with the calls that wait until the client reads the responses so far. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable()) {
      loop.execute(() -> handleNext(context));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    ended = true;
    waiting.forEach(FullHttpRequest::release);
    waiting.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
