package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A connection of a caller; processes its requests one at a time, in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Maximum number of requests that wait for the current one; another one is refused. */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  /** Time in which the event loop reads what has already arrived on a connection. */
  private static final long READ_BEFORE_CLOSE_MS = 5;

  private final ProxyContext context;
  private final ProxyServer server;
  private final Deque<ReceivedRequest> waiting = new ArrayDeque<>();
  private @Nullable Channel channel;
  private final RequestReader reader;
  private @Nullable Exchange exchange;
  private boolean closeAfterResponse;
  private boolean responseBegun;
  private boolean responseBroken;
  private boolean lastResponseSent;
  private @Nullable Refusal refusal;
  private final IdleTime idleTime;
  private final ConnectionMemory memory;

  CallerConnection(ProxyContext context, ProxyServer server) {
    this.context = context;
    this.server = server;
    this.idleTime = new IdleTime(context::idleTimeoutMillis);
    this.reader = new RequestReader(context, this, idleTime);
    this.memory = new ConnectionMemory(context.buffers(), this);
  }

  /** Returns the handler that must stand before the decoder. */
  ConnectionMemory memory() {
    return memory;
  }

  /** Returns whether the connection may be closed for what it holds outside of requests. */
  boolean mayBeClosed() {
    return memory.hasUnsent() ? memory.isUnread(System.nanoTime()) : exchange == null;
  }

  /** Returns whether a request is being processed. */
  boolean hasExchange() {
    return exchange != null;
  }

  /** Refuses the request whose beginning has been read, after those before it. */
  void refuseForMemory() {
    if (refusal == null) {
      refuseAndClose(Refusal.ofRequestWithoutMemory());
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
    server.connectionOpened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    memory.decoded();
    try {
      if (lastResponseSent || refusal != null) {
        return;
      }
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        refuseAndClose(Refusal.ofUnreadable(part.decoderResult().cause()));
        return;
      }
      if (message instanceof HttpRequest request) {
        reader.begin(handlerContext, request);
      }
      if (message instanceof HttpContent content && refusal == null) {
        reader.append(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** Processes a complete request after those before it. */
  void received(ReceivedRequest request) {
    ConnectionLimit.requestReceived(channel);
    if (waiting.size() >= MAX_PIPELINED_REQUESTS) {
      request.body().release();
      refuseAndClose(Refusal.ofTooManyRequests().of(request.head()));
      return;
    }
    waiting.addLast(request);
    startNextRequest();
  }

  private void startNextRequest() {
    if (exchange != null || lastResponseSent) {
      return;
    }
    if (waiting.isEmpty()) {
      sendRefusal();
      return;
    }
    if (!isWritable()) {
      return; // The caller does not read the responses so far.
    }
    ReceivedRequest received = waiting.removeFirst();
    closeAfterResponse = !HttpUtil.isKeepAlive(received.head());
    Exchange started;
    try {
      started =
          new Exchange(context, this, received.head(), received.body(), received.receivedAt());
    } catch (RuntimeException e) {
      refuseAfterError(received, e);
      return;
    }
    exchange = started;
    server.exchangeStarted(started);
    started.guard(() -> started.start(System.nanoTime()));
  }

  /** Answers a request that an error in this VM keeps from being processed. */
  private void refuseAfterError(ReceivedRequest received, RuntimeException error) {
    context.log().write("internal error", "error", error);
    received.body().release();
    closeAfterResponse = true;
    Refusal refused = Refusal.ofInternalError().of(received.head());
    sendResponse(refused.status(), refused.headers(context), Unpooled.EMPTY_BUFFER);
  }

  /** Refuses further requests, after the responses to those that have been read. */
  void refuseAndClose(Refusal next) {
    refusal = next;
    startNextRequest();
  }

  private void sendRefusal() {
    Refusal due = refusal;
    if (due == null) {
      return;
    }
    context.log().write("unreadable", "status", due.status().code(), "reason", due.reason());
    closeAfterResponse = true;
    sendResponse(due.status(), due.headers(context), Unpooled.EMPTY_BUFFER);
  }

  /** Sends a complete response and ends the exchange. */
  void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      content.release();
      exchangeFinished();
      return;
    }
    if (responseBegun) {
      content.release();
      breakOff("a second head in a response");
      exchangeFinished();
      return;
    }
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    HttpUtil.setContentLength(response, content.readableBytes());
    boolean close = setConnectionClose(response);
    ChannelFuture written = write(open, response);
    if (close) {
      written.addListener(refusal == null ? ChannelFutureListener.CLOSE : new LingeringClose());
    }
    open.flush();
    memory.update(open);
    exchangeFinished();
  }

  /** Sends the head of a chunked response. */
  void begin(HttpResponseStatus status, HttpHeaders headers) {
    Channel open = channel;
    if (open == null) {
      return;
    }
    if (responseBegun) {
      breakOff("a second head in a response");
      return;
    }
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    HttpUtil.setTransferEncodingChunked(response, true);
    setConnectionClose(response);
    responseBegun = true;
    write(open, response);
  }

  /** Writes a copy of a part of a chunked response, without a flush. */
  void writePart(ByteBuf content) {
    if (channel != null) {
      write(channel, new DefaultHttpContent(Unpooled.copiedBuffer(content)));
    }
  }

  /** Flushes the parts written so far. */
  void flush() {
    if (channel != null) {
      channel.flush();
      memory.update(channel);
    }
  }

  /** Completes a chunked response and ends the exchange. */
  void endResponse() {
    if (channel != null) {
      ChannelFuture written = write(channel, LastHttpContent.EMPTY_LAST_CONTENT);
      if (endsConnection()) {
        lastResponseSent = true;
        written.addListener(ChannelFutureListener.CLOSE);
      }
      channel.flush();
    }
    exchangeFinished();
  }

  /** Ends the exchange and closes the connection, so that a partly sent response is incomplete. */
  void abort() {
    close();
    exchangeFinished();
  }

  /** Aborts an exchange whose response was not handed over. */
  void abortIfCurrent(Exchange ended) {
    if (exchange == ended) {
      abort();
    }
  }

  private ChannelFuture write(Channel open, Object message) {
    memory.writeBegun();
    return open.write(message).addListener(this::onWritten);
  }

  /** A response that cannot be written has no other end than that of the connection. */
  private void onWritten(Future<? super Void> written) {
    memory.writeEnded(channel);
    if (exchange == null) {
      idleTime.begin();
    }
    if (!written.isSuccess() && !(written.cause() instanceof ClosedChannelException)) {
      breakOff("write failed: " + written.cause());
    }
  }

  private void breakOff(String reason) {
    if (!responseBroken) {
      responseBroken = true;
      String id = exchange == null ? "" : exchange.requestId();
      context.log().write("response broken off", "request", id, "reason", reason);
      close();
    }
  }

  boolean mayBegin(long now, long deadline) {
    return server.mayBegin(now, deadline);
  }

  boolean isWritable() {
    return channel != null && channel.isWritable();
  }

  /** Returns whether the connection ends after the current response. */
  private boolean endsConnection() {
    return closeAfterResponse || (server.draining() && waiting.isEmpty() && refusal == null);
  }

  private boolean setConnectionClose(HttpResponse response) {
    boolean close = endsConnection();
    if (close) {
      closeAfterResponse = true;
      lastResponseSent = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return close;
  }

  private void exchangeFinished() {
    Exchange ended = exchange;
    exchange = null;
    responseBegun = false;
    idleTime.begin();
    if (ended != null) {
      server.exchangeEnded(ended);
    }
    if (!waiting.isEmpty() || refusal != null) {
      context.loop().execute(this::startNextRequest);
    }
  }

  /**
   * Closes the connection if it has had no request for at least the given time and none has
   * arrived; what has arrived while the event loop was busy is read first.
   */
  void closeIfIdle(long now, long maxIdleNanos) {
    long since = idleTime.since();
    if (isIdle() && now - since >= maxIdleNanos) {
      Runnable close =
          () -> {
            if (isIdle() && idleTime.since() == since) {
              close();
            }
          };
      context.loop().schedule(close, READ_BEFORE_CLOSE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isIdle() {
    return exchange == null && !reader.isReading() && waiting.isEmpty() && !memory.hasUnsent();
  }

  /** Ends a connection after the idle timeout that its caller knew when it became idle. */
  void closeIfExpired(long now) {
    boolean reading = reader.isReading() && refusal == null;
    if (reading && (idleTime.isOver(now) || reader.isLate(now, server))) {
      reader.refuse(Refusal.ofStalledBody());
    } else if (memory.isUnreadFor(now, idleTime.limitNanos())) {
      server.limitReached("unread_response");
      close();
    } else if (idleTime.isOver(now)) {
      closeIfIdle(now, idleTime.limitNanos());
    }
  }

  void close() {
    lastResponseSent = true;
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    if (exchange != null) {
      exchange.onCallerWritabilityChanged(handlerContext.channel().isWritable());
    } else if (!waiting.isEmpty()) {
      context.loop().execute(this::startNextRequest);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    server.connectionClosed(this);
    lastResponseSent = true;
    reader.release();
    memory.release();
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
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    if (cause instanceof IOException) {
      handlerContext.close();
    } else {
      breakOff("internal error: " + cause);
    }
  }
}
