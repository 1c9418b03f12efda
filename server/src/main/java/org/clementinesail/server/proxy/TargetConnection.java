package org.clementinesail.server.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementinesail.server.proxy.ResponseListener.FailureKind;
import org.jspecify.annotations.Nullable;

/** A connection to a target: one request at a time; reused only after a complete response. */
final class TargetConnection extends ChannelInboundHandlerAdapter {
  /** Longest time for the body of a skipped response; its length may cover the next response. */
  private static final long MAX_SKIPPED_BODY_MS = 250;

  private final TargetPool pool;
  private final String address;
  private final Dialect dialect;
  private final ResponseDecoder decoder;
  private @Nullable Channel channel;
  private @Nullable ActiveCall activeCall;
  private boolean skippingResponse;
  private boolean becomingIdle;
  private boolean carriesEngineCalls;
  private final SentIds sentIds = new SentIds();
  private boolean closing;
  private boolean keepAlive;
  private boolean failed;
  private long maxIdleNanos;
  private long idleSince;
  private int completedResponses;

  TargetConnection(TargetPool pool, String address, Dialect dialect) {
    this.pool = pool;
    this.address = address;
    this.dialect = dialect;
    this.decoder =
        new ResponseDecoder(dialect.singularResponseHeaders(), this::acceptsBytes, this::hasNoBody);
  }

  /** The request in progress. */
  private final class ActiveCall implements TargetCall {
    private final String requestId;
    private final boolean engineCall;
    private final boolean headRequest;
    private final ResponseListener listener;
    private boolean requestWritten;
    private boolean bytesReceived;
    private boolean headReceived;
    private boolean identified;
    private final SkippedResponses skipped = new SkippedResponses();
    private OverlapCheck body = newBody();
    private @Nullable ResponseEnd end;

    ActiveCall(String requestId, boolean engineCall, HttpMethod method, ResponseListener listener) {
      this.requestId = requestId;
      this.engineCall = engineCall;
      this.headRequest = method.equals(HttpMethod.HEAD);
      this.listener = listener;
    }

    @Override
    public void cancel() {
      if (activeCall == this) {
        activeCall = null;
        close();
      }
    }

    @Override
    public void endWait() {
      Optional.ofNullable(end).ifPresent(ResponseEnd::onNoMoreBytes);
    }

    @Override
    public void setReading(boolean reading) {
      if (activeCall == this && channel != null && end == null) {
        channel.config().setAutoRead(reading);
      }
    }
  }

  String address() {
    return address;
  }

  /** Returns the handler that precedes this one in the pipeline. */
  ResponseDecoder decoder() {
    return decoder;
  }

  long idleSince() {
    return idleSince;
  }

  boolean isUsable(long now) {
    return channel != null && channel.isActive() && now - idleSince < maxIdleNanos;
  }

  /**
   * Reads from the socket of an idle connection, and returns whether the connection is still usable
   * afterwards: any byte, and the end of the connection, close it.
   */
  boolean readIsEmpty() {
    if (channel instanceof AbstractNioChannel open) {
      open.unsafe().read();
    }
    return !closing && channel != null && channel.isActive();
  }

  boolean carriesEngineCalls() {
    return carriesEngineCalls;
  }

  /** Returns whether a response to the request could be told from those to earlier ones. */
  boolean isUsableFor(String requestId) {
    return !requestId.isEmpty() && !carriesEngineCalls && !sentIds.contains(requestId);
  }

  void close() {
    closing = true;
    becomingIdle = false;
    if (channel != null) {
      channel.close();
    }
  }

  TargetCall send(String requestId, FullHttpRequest request, ResponseListener listener) {
    sentIds.add(requestId);
    return send(new ActiveCall(requestId, false, request.method(), listener), request);
  }

  /** Sends a call whose response bears no request id; requests cannot use the connection then. */
  TargetCall sendEngineCall(FullHttpRequest request, ResponseListener listener) {
    carriesEngineCalls = true;
    return send(new ActiveCall("", true, request.method(), listener), request);
  }

  private TargetCall send(ActiveCall call, FullHttpRequest request) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      request.release();
      pool.loop()
          .execute(() -> call.listener.onFailure(FailureKind.NOT_SENT, "connection is closed"));
      return call;
    }
    activeCall = call;
    open.writeAndFlush(request)
        .addListener(
            done -> {
              call.requestWritten = done.isSuccess();
              if (!done.isSuccess() && activeCall == call) {
                fail("write failed: " + done.cause().getMessage());
              }
            });
    return call;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Accepts bytes for the decoder only while a request is in progress. */
  private boolean acceptsBytes(int count) {
    ActiveCall call = activeCall;
    if (call != null) {
      call.bytesReceived = true;
    } else if (!closing) {
      // Bytes outside of a response cannot be assigned to a request.
      logForeignBytes("bytes outside of a response", count);
      pool.removeIdle(this);
      close();
    }
    return call != null;
  }

  private boolean hasNoBody(HttpResponse response) {
    ActiveCall call = activeCall;
    return call != null
        && call.headRequest
        && owner(call, response) == ResponseOwner.CURRENT_REQUEST;
  }

  private ResponseOwner owner(ActiveCall call, HttpResponse response) {
    Optional<String> id = dialect.requestId(response);
    return call.engineCall
        ? ResponseOwner.ofEngineCall(id)
        : ResponseOwner.of(call.requestId, id, completedResponses > 0);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      ActiveCall call = activeCall;
      if (call == null) {
        return;
      }
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        String reason = "malformed response: " + part.decoderResult().cause();
        logForeignBytes(reason, decoder.undecodedBytes());
        fail(reason);
      } else {
        accept(message, call);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void accept(Object message, ActiveCall call) {
    if (message instanceof HttpResponse head) {
      acceptHead(head, call);
    }
    if (skippingResponse && message instanceof HttpContent skipped) {
      call.skipped.recordBytes(skipped.content().readableBytes());
    }
    if (call.skipped.tooMany()) {
      fail("too many bytes that belong to no request");
      return;
    }
    if (message instanceof HttpContent content && activeCall == call) {
      if (!skippingResponse && call.headReceived && content.content().isReadable()) {
        call.body.readBody(content.content());
        callListener(call, () -> call.listener.onContent(content.content()));
      }
      if (message instanceof LastHttpContent && activeCall == call) {
        finish(call);
      }
    }
  }

  private void acceptHead(HttpResponse head, ActiveCall call) {
    boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    ResponseOwner owner = informational ? ResponseOwner.OTHER_REQUEST : owner(call, head);
    skippingResponse = owner == ResponseOwner.OTHER_REQUEST;
    if (owner == ResponseOwner.UNKNOWN) {
      logForeignBytes("response without request id", decoder.undecodedBytes());
      fail("response without request id on a reused connection");
    } else if (informational) {
      call.skipped.recordHead(false);
    } else if (skippingResponse) {
      skipForeignResponse(head, call);
    } else {
      call.headReceived = true;
      call.body = newBody();
      call.identified = dialect.requestId(head).isPresent();
      keepAlive = HttpUtil.isKeepAlive(head);
      maxIdleNanos = KeepAlive.maxIdleNanos(head);
      callListener(call, () -> call.listener.onHead(head));
    }
  }

  private void skipForeignResponse(HttpResponse head, ActiveCall call) {
    call.skipped.recordHead(true);
    int skipped = call.skipped.count();
    logForeignBytes(
        "response with status " + head.status().code() + " for another request",
        decoder.undecodedBytes());
    pool.loop()
        .schedule(
            () -> {
              if (activeCall == call && skippingResponse && call.skipped.count() == skipped) {
                fail("another request's response does not end");
              }
            },
            MAX_SKIPPED_BODY_MS,
            TimeUnit.MILLISECONDS);
  }

  private void finish(ActiveCall call) {
    if (skippingResponse) {
      skippingResponse = false;
      return;
    }
    if (failed || !call.headReceived) {
      fail("connection failed during the response");
      return;
    }
    ResponseEnd end =
        new ResponseEnd(pool.loop(), decoder, call.body, filled -> complete(call, filled));
    call.end = end;
    if (channel != null) {
      channel.config().setAutoRead(true);
    }
    end.judge();
  }

  private void complete(ActiveCall call, boolean filled) {
    if (activeCall != call) {
      return;
    }
    int undecoded = decoder.undecodedBytes();
    if (undecoded > 0) {
      logForeignBytes("bytes after the end of a response", undecoded);
    }
    if (filled) {
      fail("another response begins in the body");
      return;
    }
    activeCall = null;
    completedResponses++;
    idleSince = System.nanoTime();
    Channel open = channel;
    if (undecoded == 0 && mayKeep(call) && open != null && open.isActive()) {
      becomingIdle = true;
    } else {
      close();
    }
    callListener(call, call.listener::onComplete);
  }

  private OverlapCheck newBody() {
    return new OverlapCheck(
        dialect.singularResponseHeaders(),
        response -> sentIds.contains(dialect.requestId(response)));
  }

  private boolean mayKeep(ActiveCall call) {
    boolean certain = call.end != null && !call.end.waited() && !call.skipped.anyOfOtherRequest();
    boolean verified = call.engineCall || (call.identified && !call.requestId.isEmpty());
    return keepAlive && call.requestWritten && verified && certain;
  }

  /** Calls the listener; an exception that it throws is a failure of its request. */
  private void callListener(ActiveCall call, Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException e) {
      pool.log()
          .write("listener failed", "address", address, "request", call.requestId, "reason", e);
      activeCall = null;
      close();
      call.listener.onFailure(FailureKind.INCOMPLETE, "response could not be processed: " + e);
    }
  }

  /** Makes the connection available again, unless the read has brought more than the response. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (activeCall != null && activeCall.end != null) {
      activeCall.end.onReadComplete();
    }
    if (becomingIdle) {
      becomingIdle = false;
      pool.addIdle(this);
    }
  }

  /** Logs bytes that belong to no request of this connection. */
  private void logForeignBytes(String reason, int undecodedBytes) {
    ActiveCall call = activeCall;
    long idleNanos = call == null && completedResponses > 0 ? System.nanoTime() - idleSince : 0;
    String requestId = call == null ? "" : call.requestId;
    new ForeignBytes(reason, undecodedBytes, requestId, completedResponses, idleNanos)
        .log(pool.log(), address);
  }

  /** Called when the connection has ended; a response that was held back is complete. */
  private void endConnection(String reason) {
    if (activeCall != null && activeCall.end != null) {
      activeCall.end.onNoMoreBytes();
    }
    fail(reason);
  }

  private void fail(String reason) {
    ActiveCall call = activeCall;
    activeCall = null;
    failed = true;
    pool.removeIdle(this);
    close();
    if (call != null) {
      boolean staleConnection = completedResponses > 0 && !call.bytesReceived;
      call.listener.onFailure(
          staleConnection ? FailureKind.STALE_CONNECTION : FailureKind.INCOMPLETE, reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    endConnection("connection failed: " + cause.getMessage());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    endConnection("connection closed by the target");
  }
}
