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
import org.clementinesail.server.proxy.AnswerListener.Breakage;
import org.jspecify.annotations.Nullable;

/** One connection to a target: one request at a time, and nothing kept after a doubtful answer. */
final class TargetConnection extends ChannelInboundHandlerAdapter {
  /** How long a connection is kept where the target does not say; below common idle timeouts. */
  private static final long DEFAULT_KEEP_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** How long before the target's own idle timeout a connection is given up. */
  private static final long KEEP_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

  private final TargetPool pool;
  private final String address;
  private final Dialect dialect;
  private @Nullable Channel channel;
  private @Nullable Current current;
  private boolean skipping;
  private boolean keepAlive;
  private boolean failed;
  private long keepNanos = DEFAULT_KEEP_NANOS;
  private long idleSince;
  private int served;

  TargetConnection(TargetPool pool, String address, Dialect dialect) {
    this.pool = pool;
    this.address = address;
    this.dialect = dialect;
  }

  /** The request in progress. */
  private final class Current implements TargetCall {
    private final String requestId;
    private final AnswerListener listener;
    private boolean written;
    private boolean headSeen;

    Current(String requestId, AnswerListener listener) {
      this.requestId = requestId;
      this.listener = listener;
    }

    @Override
    public void cancel() {
      if (current == this) {
        current = null;
        close();
      }
    }

    @Override
    public void reading(boolean reading) {
      if (current == this && channel != null) {
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

  boolean usable(long now) {
    return channel != null && channel.isActive() && now - idleSince < keepNanos - KEEP_MARGIN_NANOS;
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }

  TargetCall send(String requestId, FullHttpRequest request, AnswerListener listener) {
    Current call = new Current(requestId, listener);
    Channel open = channel;
    if (open == null || !open.isActive()) {
      request.release();
      pool.loop().execute(() -> listener.broken(Breakage.NOT_SENT, "connection is closed"));
      return call;
    }
    current = call;
    open.writeAndFlush(request)
        .addListener(
            done -> {
              call.written = done.isSuccess();
              if (!done.isSuccess() && current == call) {
                breakOff("write: " + done.cause().getMessage());
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
        breakOff("answer cannot be read: " + part.decoderResult().cause());
      } else if (current == null) {
        // Bytes that nobody asked for belong to no request.
        close();
      } else {
        accept(message, current);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void accept(Object message, Current call) {
    if (message instanceof HttpResponse head) {
      Optional<String> id = dialect.requestId(head);
      skipping =
          head.status().codeClass() == HttpStatusClass.INFORMATIONAL
              || (id.isPresent() && !call.requestId.isEmpty() && !id.get().equals(call.requestId));
      if (!skipping) {
        call.headSeen = true;
        keepAlive = HttpUtil.isKeepAlive(head);
        keepNanos = keepNanos(head);
        call.listener.head(head);
      }
    }
    if (message instanceof HttpContent content && current == call) {
      if (!skipping && call.headSeen && content.content().isReadable()) {
        call.listener.content(content.content());
      }
      if (message instanceof LastHttpContent && current == call) {
        finish(call);
      }
    }
  }

  private void finish(Current call) {
    if (skipping) {
      skipping = false;
      return;
    }
    if (failed || !call.headSeen) {
      breakOff("connection failed while the answer arrived");
      return;
    }
    current = null;
    served++;
    idleSince = System.nanoTime();
    Channel open = channel;
    if (keepAlive && call.written && open != null && open.isActive()) {
      open.config().setAutoRead(true);
      pool.keep(this);
    } else {
      close();
    }
    call.listener.end();
  }

  private static long keepNanos(HttpResponse head) {
    String value = head.headers().get("Keep-Alive");
    if (value == null) {
      return DEFAULT_KEEP_NANOS;
    }
    Matcher matcher = TIMEOUT.matcher(value.toLowerCase(Locale.ROOT));
    return matcher.find()
        ? TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)))
        : DEFAULT_KEEP_NANOS;
  }

  private void breakOff(String reason) {
    Current call = current;
    current = null;
    failed = true;
    pool.drop(this);
    close();
    if (call != null) {
      boolean stale = served > 0 && !call.headSeen;
      call.listener.broken(stale ? Breakage.STALE_CONNECTION : Breakage.LOST, reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    breakOff("connection failed: " + cause.getMessage());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    breakOff("connection closed by the target");
  }
}
