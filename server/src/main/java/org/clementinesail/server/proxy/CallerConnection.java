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
  private static final int MAX_PIPELINED_REQUESTS = 16;

  private final ProxyContext context;
  private final ProxyServer server;
  private final Deque<ReceivedRequest> waiting = new ArrayDeque<>();
  private @Nullable Channel channel;
  private @Nullable HttpRequest head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean bodyRefused;
  private @Nullable Exchange exchange;
  private boolean closeAfterAnswer;
  private long idleSince = System.nanoTime();

  /** A request that has been read whole. */
  private record ReceivedRequest(HttpRequest head, ByteBuf body, long receivedAt) {}

  CallerConnection(ProxyContext context, ProxyServer server) {
    this.context = context;
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext netty) {
    channel = netty.channel();
    server.connectionOpened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext netty, Object message) {
    try {
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        refuseUnreadable(part.decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest request) {
        begin(netty, request);
      }
      if (message instanceof HttpContent content) {
        appendBody(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(ChannelHandlerContext netty, HttpRequest request) {
    head = request;
    body = Unpooled.buffer(0);
    bodyRefused = false;
    if (HttpUtil.is100ContinueExpected(request)) {
      netty.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void appendBody(HttpContent content) {
    HttpRequest request = head;
    if (request == null || bodyRefused) {
      return;
    }
    if (body.readableBytes() + content.content().readableBytes() > limits().maxBodyBytes()) {
      bodyRefused = true;
      refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      head = null;
      waiting.addLast(new ReceivedRequest(request, body, System.nanoTime()));
      body = Unpooled.EMPTY_BUFFER;
      if (waiting.size() > MAX_PIPELINED_REQUESTS) {
        close();
      } else {
        startNextRequest();
      }
    }
  }

  private void startNextRequest() {
    if (exchange != null || waiting.isEmpty()) {
      return;
    }
    ReceivedRequest received = waiting.removeFirst();
    closeAfterAnswer = !HttpUtil.isKeepAlive(received.head());
    Exchange started =
        new Exchange(context, this, received.head(), received.body(), received.receivedAt());
    exchange = started;
    server.exchangeStarted(started);
    started.start();
  }

  private void refuseUnreadable(Throwable cause) {
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
    return context.routing().desiredState().map(DesiredState::limits).orElse(RequestLimits.DEFAULT);
  }

  /** Sends a whole answer; the exchange is over. */
  void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      content.release();
      exchangeFinished();
      return;
    }
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    HttpUtil.setContentLength(response, content.readableBytes());
    boolean close = setConnectionClose(response);
    var written = open.writeAndFlush(response);
    if (close) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    exchangeFinished();
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
    setConnectionClose(response);
    open.write(response);
  }

  /** Sends a part of an answer; the bytes are copied. */
  void writePart(ByteBuf content) {
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
  void endResponse() {
    if (channel != null) {
      var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      if (closeAfterAnswer || server.draining()) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }
    exchangeFinished();
  }

  /** Closes the connection, so that an answer that was begun does not look complete. */
  void abort() {
    close();
    exchangeFinished();
  }

  boolean isWritable() {
    return channel != null && channel.isWritable();
  }

  private boolean setConnectionClose(HttpResponse response) {
    boolean close = closeAfterAnswer || server.draining();
    if (close) {
      closeAfterAnswer = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return close;
  }

  private void exchangeFinished() {
    Exchange ended = exchange;
    exchange = null;
    idleSince = System.nanoTime();
    if (ended != null) {
      server.exchangeEnded(ended);
    }
    if (!waiting.isEmpty()) {
      context.loop().execute(this::startNextRequest);
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
      exchange.onCallerWritabilityChanged(netty.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext netty) {
    server.connectionClosed(this);
    waiting.forEach(received -> received.body().release());
    waiting.clear();
    Exchange open = exchange;
    if (open != null) {
      open.onCallerDisconnected();
      exchange = null;
      server.exchangeEnded(open);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext netty, Throwable cause) {
    netty.close();
  }
}
