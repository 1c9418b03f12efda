package org.clementinesail.server.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinesail.server.proxy.ResponseListener.FailureKind;
import org.jspecify.annotations.Nullable;

/** A connection to a target: one request at a time; reused only after a complete response. */
final class TargetConnection extends ChannelInboundHandlerAdapter {
  /** Idle time for reuse if the target gives none; shorter than common server idle timeouts. */
  private static final long DEFAULT_KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Connections are not reused within this time before the idle timeout of the target. */
  private static final long KEEP_ALIVE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Most responses that are skipped before that to the request in progress. */
  private static final int MAX_SKIPPED_RESPONSES = 8;

  /** Most bytes of bodies that are skipped; a connection with more is not worth reading. */
  private static final int MAX_SKIPPED_BYTES = 65_536;

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

  private final TargetPool pool;
  private final String address;
  private final Dialect dialect;
  private @Nullable Channel channel;
  private @Nullable ActiveCall activeCall;
  private boolean skippingResponse;
  private boolean keepAlive;
  private boolean failed;
  private long keepAliveNanos = DEFAULT_KEEP_ALIVE_NANOS;
  private long idleSince;
  private int completedResponses;

  TargetConnection(TargetPool pool, String address, Dialect dialect) {
    this.pool = pool;
    this.address = address;
    this.dialect = dialect;
  }

  /** The request in progress. */
  private final class ActiveCall implements TargetCall {
    private final String requestId;
    private final ResponseListener listener;
    private boolean requestWritten;
    private boolean headReceived;
    private int skippedResponses;
    private int skippedBytes;

    ActiveCall(String requestId, ResponseListener listener) {
      this.requestId = requestId;
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
    public void setReading(boolean reading) {
      if (activeCall == this && channel != null) {
        channel.config().setAutoRead(reading);
      }
    }
  }

  String address() {
    return address;
  }

  long idleSince() {
    return idleSince;
  }

  boolean isUsable(long now) {
    return channel != null
        && channel.isActive()
        && now - idleSince < keepAliveNanos - KEEP_ALIVE_MARGIN_NANOS;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }

  TargetCall send(String requestId, FullHttpRequest request, ResponseListener listener) {
    ActiveCall call = new ActiveCall(requestId, listener);
    Channel open = channel;
    if (open == null || !open.isActive()) {
      request.release();
      pool.loop().execute(() -> listener.onFailure(FailureKind.NOT_SENT, "connection is closed"));
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

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        logForeignBytes("malformed response: " + part.decoderResult().cause());
        fail("malformed response: " + part.decoderResult().cause());
      } else if (activeCall == null) {
        // Data outside of a response cannot be assigned to a request.
        logForeignBytes("message outside of a response");
        close();
      } else {
        accept(message, activeCall);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void accept(Object message, ActiveCall call) {
    if (message instanceof HttpResponse head) {
      Optional<String> id = dialect.requestId(head);
      skippingResponse =
          head.status().codeClass() == HttpStatusClass.INFORMATIONAL
              || (id.isPresent() && !call.requestId.isEmpty() && !id.get().equals(call.requestId));
      if (skippingResponse) {
        call.skippedResponses++;
        logForeignBytes("response with status " + head.status().code() + " for " + id.orElse(""));
      } else {
        call.headReceived = true;
        keepAlive = HttpUtil.isKeepAlive(head);
        keepAliveNanos = keepAliveNanos(head);
        call.listener.onHead(head);
      }
    }
    if (skippingResponse && message instanceof HttpContent skipped) {
      call.skippedBytes += skipped.content().readableBytes();
    }
    if (call.skippedResponses > MAX_SKIPPED_RESPONSES || call.skippedBytes > MAX_SKIPPED_BYTES) {
      fail("too many bytes that belong to no request");
      return;
    }
    if (message instanceof HttpContent content && activeCall == call) {
      if (!skippingResponse && call.headReceived && content.content().isReadable()) {
        call.listener.onContent(content.content());
      }
      if (message instanceof LastHttpContent && activeCall == call) {
        finish(call);
      }
    }
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
    activeCall = null;
    completedResponses++;
    idleSince = System.nanoTime();
    Channel open = channel;
    if (keepAlive && call.requestWritten && open != null && open.isActive()) {
      open.config().setAutoRead(true);
      pool.addIdle(this);
    } else {
      close();
    }
    call.listener.onComplete();
  }

  private static long keepAliveNanos(HttpResponse head) {
    String value = head.headers().get("Keep-Alive");
    if (value == null) {
      return DEFAULT_KEEP_ALIVE_NANOS;
    }
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value.toLowerCase(Locale.ROOT));
    return matcher.find()
        ? TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)))
        : DEFAULT_KEEP_ALIVE_NANOS;
  }

  /** Logs bytes that belong to no request of this connection. */
  private void logForeignBytes(String reason) {
    ActiveCall call = activeCall;
    long now = System.nanoTime();
    pool.log()
        .write(
            "foreign bytes from target",
            "address",
            address,
            "reason",
            reason,
            "request",
            call == null ? "" : call.requestId,
            "answered_before",
            completedResponses,
            "idle_ms",
            call == null && completedResponses > 0
                ? TimeUnit.NANOSECONDS.toMillis(now - idleSince)
                : 0);
  }

  private void fail(String reason) {
    ActiveCall call = activeCall;
    activeCall = null;
    failed = true;
    pool.removeIdle(this);
    close();
    if (call != null) {
      boolean staleConnection = completedResponses > 0 && !call.headReceived;
      call.listener.onFailure(
          staleConnection ? FailureKind.STALE_CONNECTION : FailureKind.INCOMPLETE, reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail("connection failed: " + cause.getMessage());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("connection closed by the target");
  }
}
