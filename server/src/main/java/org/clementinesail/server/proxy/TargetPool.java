package org.clementinesail.server.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.clementinesail.server.proxy.ResponseListener.FailureKind;
import org.jspecify.annotations.Nullable;

/**
 * Connections to targets, kept for further requests. Everything happens on one event loop.
 *
 * <pre>{@code
 * TargetCall call = pool.send("10.1.0.9:8080", requestId, request, Long.MAX_VALUE, listener);
 * call.cancel();
 * }</pre>
 */
public final class TargetPool {
  /** Time to establish a connection; many round trips between the data centres of a site. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  private static final int MAX_HEAD_BYTES = 32_768;

  private final EventLoop loop;
  private final Dialect dialect;
  private final Bootstrap bootstrap;
  private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();
  private long connectionsOpened;

  /**
   * Creates a pool without connections.
   *
   * @param loop the event loop
   * @param dialect reads answers' heads
   */
  public TargetPool(EventLoop loop, Dialect dialect) {
    this.loop = loop;
    this.dialect = dialect;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
  }

  /**
   * Sends a request.
   *
   * @param address IP number and port of the target
   * @param requestId identity that the answer must bear; empty if it bears none
   * @param request the request; released by the call
   * @param maxIdleNanos longest time that a kept connection may have been idle; 0 for a new one
   * @param listener receives the answer
   */
  public TargetCall send(
      String address,
      String requestId,
      FullHttpRequest request,
      long maxIdleNanos,
      ResponseListener listener) {
    TargetConnection kept = takeIdle(address, maxIdleNanos);
    if (kept != null) {
      return kept.send(requestId, request, listener);
    }
    connectionsOpened++;
    PendingCall pending = new PendingCall(requestId, request, listener);
    int colon = address.lastIndexOf(':');
    InetSocketAddress remote =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                HttpDecoderConfig config =
                    new HttpDecoderConfig()
                        .setMaxHeaderSize(MAX_HEAD_BYTES)
                        .setValidateHeaders(false);
                channel.pipeline().addLast(new HttpClientCodec(config, false, false));
                channel.pipeline().addLast(new TargetConnection(TargetPool.this, address, dialect));
              }
            })
        .connect(remote)
        .addListener((ChannelFuture done) -> pending.onConnected(done));
    return pending;
  }

  /** Returns how many connections have been opened. */
  public long connectionsOpened() {
    return connectionsOpened;
  }

  /**
   * Closes the idle connections to a target.
   *
   * @param address IP number and port of the target
   */
  public void closeIdle(String address) {
    Deque<TargetConnection> kept = idle.remove(address);
    if (kept != null) {
      kept.forEach(TargetConnection::close);
    }
  }

  EventLoop loop() {
    return loop;
  }

  void addIdle(TargetConnection connection) {
    idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>()).addFirst(connection);
  }

  void removeIdle(TargetConnection connection) {
    Deque<TargetConnection> kept = idle.get(connection.address());
    if (kept != null) {
      kept.remove(connection);
    }
  }

  private @Nullable TargetConnection takeIdle(String address, long maxIdleNanos) {
    Deque<TargetConnection> kept = idle.get(address);
    long now = System.nanoTime();
    while (kept != null && !kept.isEmpty()) {
      // The most recently used comes first: if it is too old, all are.
      TargetConnection first = kept.peekFirst();
      if (first == null || !first.isUsable(now)) {
        kept.removeFirst();
        if (first != null) {
          first.close();
        }
        continue;
      }
      if (now - first.idleSince() > maxIdleNanos) {
        return null;
      }
      kept.removeFirst();
      return first;
    }
    return null;
  }

  /** A call whose connection is being established. */
  private static final class PendingCall implements TargetCall {
    private final String requestId;
    private final FullHttpRequest request;
    private final ResponseListener listener;
    private @Nullable TargetCall call;
    private boolean cancelled;

    PendingCall(String requestId, FullHttpRequest request, ResponseListener listener) {
      this.requestId = requestId;
      this.request = request;
      this.listener = listener;
    }

    void onConnected(ChannelFuture done) {
      if (cancelled || !done.isSuccess()) {
        request.release();
        done.channel().close();
        if (!cancelled) {
          listener.onFailure(FailureKind.NOT_SENT, "connect: " + done.cause().getMessage());
        }
        return;
      }
      TargetConnection connection = done.channel().pipeline().get(TargetConnection.class);
      if (connection == null) {
        request.release();
        listener.onFailure(FailureKind.NOT_SENT, "closed as soon as it was connected");
        return;
      }
      call = connection.send(requestId, request, listener);
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (call != null) {
        call.cancel();
      }
    }

    @Override
    public void setReading(boolean reading) {
      if (call != null) {
        call.setReading(reading);
      }
    }
  }
}
