package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.jspecify.annotations.Nullable;

/** One connection of a caller: requests are answered one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Requests that may wait behind the one being answered. */
  private static final int MOST_PIPELINED = 16;

  private final FrontContext context;
  private final FrontServer server;
  private final Deque<Received> waiting = new ArrayDeque<>();
  private @Nullable Channel channel;
  private @Nullable HttpRequest head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean refusingBody;
  private @Nullable Exchange exchange;
  private boolean closeAfterAnswer;
  private long idleSince = System.nanoTime();

  /** A request that has been read whole. */
  private record Received(HttpRequest head, ByteBuf body, long at) {}

  CallerConnection(FrontContext context, FrontServer server) {
    this.context = context;
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext netty) {
    channel = netty.channel();
    server.opened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext netty, Object message) {
    try {
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        unreadable(part.decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest request) {
        begin(netty, request);
      }
      if (message instanceof HttpContent content) {
        add(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(ChannelHandlerContext netty, HttpRequest request) {
    head = request;
    body = Unpooled.buffer(0);
    refusingBody = false;
    if (HttpUtil.is100ContinueExpected(request)) {
      netty.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void add(HttpContent content) {
    HttpRequest request = head;
    if (request == null || refusingBody) {
      return;
    }
    if (body.readableBytes() + content.content().readableBytes() > limits().maxBodyBytes()) {
      refusingBody = true;
      refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      head = null;
      waiting.addLast(new Received(request, body, System.nanoTime()));
      body = Unpooled.EMPTY_BUFFER;
      if (waiting.size() > MOST_PIPELINED) {
        close();
      } else {
        next();
      }
    }
  }

  private void next() {
    if (exchange != null || waiting.isEmpty()) {
      return;
    }
    Received received = waiting.removeFirst();
    closeAfterAnswer = !HttpUtil.isKeepAlive(received.head());
    Exchange started = new Exchange(context, this, received.head(), received.body(), received.at());
    exchange = started;
    server.started(started);
    started.start();
  }

  private void unreadable(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    refuseAndClose(
        tooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        String.valueOf(cause.getMessage()));
  }

  private void refuseAndClose(HttpResponseStatus status, String reason) {
    context.log().write("unreadable", "status", status.code(), "reason", reason);
    Channel open = channel;
    if (open == null || exchange != null) {
      close();
      return;
    }
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(response, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    open.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private RequestLimits limits() {
    return context.routing().desired().map(DesiredState::limits).orElse(RequestLimits.DEFAULT);
  }

  /** Sends a whole answer; the exchange is over. */
  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      content.release();
      finished();
      return;
    }
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    HttpUtil.setContentLength(response, content.readableBytes());
    boolean close = prepareClose(response);
    var written = open.writeAndFlush(response);
    if (close) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    finished();
  }

  /** Begins an answer whose length is not known. */
  void begin(HttpResponseStatus status, HttpHeaders headers) {
    Channel open = channel;
    if (open == null) {
      return;
    }
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    HttpUtil.setTransferEncodingChunked(response, true);
    prepareClose(response);
    open.write(response);
  }

  /** Sends a part of an answer; the bytes are copied. */
  void send(ByteBuf content) {
    if (channel != null) {
      channel.write(new DefaultHttpContent(Unpooled.copiedBuffer(content)));
    }
  }

  /** Makes everything sent so far leave. */
  void flush() {
    if (channel != null) {
      channel.flush();
    }
  }

  /** Completes an answer of unknown length; the exchange is over. */
  void end() {
    if (channel != null) {
      var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      if (closeAfterAnswer || server.draining()) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }
    finished();
  }

  /** Closes the connection, so that an answer that was begun does not look complete. */
  void abort() {
    close();
    finished();
  }

  boolean writable() {
    return channel != null && channel.isWritable();
  }

  private boolean prepareClose(HttpResponse response) {
    boolean close = closeAfterAnswer || server.draining();
    if (close) {
      closeAfterAnswer = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return close;
  }

  private void finished() {
    Exchange over = exchange;
    exchange = null;
    idleSince = System.nanoTime();
    if (over != null) {
      server.ended(over);
    }
    if (!waiting.isEmpty()) {
      context.loop().execute(this::next);
    }
  }

  /** Closes the connection if no request is being read or answered and it has been idle long. */
  void closeIfIdle(long now, long maxIdleNanos) {
    boolean quiet = exchange == null && head == null && waiting.isEmpty();
    if (quiet && now - idleSince >= maxIdleNanos) {
      close();
    }
  }

  /** Closes the connection if it has been idle longer than callers may be. */
  void closeIfExpired(long now) {
    closeIfIdle(now, TimeUnit.MILLISECONDS.toNanos(limits().idleTimeoutMillis()));
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext netty) {
    if (exchange != null) {
      exchange.callerWritable(netty.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext netty) {
    server.closed(this);
    waiting.forEach(received -> received.body().release());
    waiting.clear();
    Exchange open = exchange;
    if (open != null) {
      open.callerLeft();
      exchange = null;
      server.ended(open);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext netty, Throwable cause) {
    netty.close();
  }
}
