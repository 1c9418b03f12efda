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
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.ResponseListener.FailureKind;
import org.jspecify.annotations.Nullable;

/**
 * Pool of keep-alive connections to targets. All work is done on one event loop.
 *
 * <pre>{@code
 * TargetCall call = pool.send("10.1.0.9:8080", requestId, request, Long.MAX_VALUE, listener);
 * call.cancel();
 * }</pre>
 */
public final class TargetPool {
  /** Timeout of connects; many round trips between the data centres of a site. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  private static final int MAX_HEAD_BYTES = 32_768;

  private final EventLoop loop;
  private final Dialect dialect;
  private final DecisionLog log;
  private final Bootstrap bootstrap;
  private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();
  private long connectionsOpened;

  /**
   * Creates a pool without connections.
   *
   * @param loop event loop that all methods are called on
   * @param dialect reads the request ids of responses
   * @param log receives a line for each connection that sends bytes of no request
   */
  public TargetPool(EventLoop loop, Dialect dialect, DecisionLog log) {
    this.loop = loop;
    this.dialect = dialect;
    this.log = log;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
  }

  /**
   * Sends a request on an idle connection, or on a new one if none is recent enough.
   *
   * @param address IP address and port of the target
   * @param requestId responses with another request id are skipped; empty to accept any
   * @param request the request; released by this method
   * @param maxIdleNanos maximum idle time in nanoseconds of a reused connection; 0 for a new one
   * @param listener receives the response on the event loop
   */
  public TargetCall send(
      String address,
      String requestId,
      FullHttpRequest request,
      long maxIdleNanos,
      ResponseListener listener) {
    TargetConnection reused = takeIdle(address, maxIdleNanos);
    if (reused != null) {
      return reused.send(requestId, request, listener);
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

  /** Returns how many connections have been opened since the start, failed ones included. */
  public long connectionsOpened() {
    return connectionsOpened;
  }

  /**
   * Closes the idle connections to a target.
   *
   * @param address IP address and port of the target
   */
  public void closeIdle(String address) {
    Deque<TargetConnection> connections = idle.remove(address);
    if (connections != null) {
      connections.forEach(TargetConnection::close);
    }
  }

  EventLoop loop() {
    return loop;
  }

  DecisionLog log() {
    return log;
  }

  void addIdle(TargetConnection connection) {
    idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>()).addFirst(connection);
  }

  void removeIdle(TargetConnection connection) {
    Deque<TargetConnection> connections = idle.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  private @Nullable TargetConnection takeIdle(String address, long maxIdleNanos) {
    Deque<TargetConnection> connections = idle.get(address);
    long now = System.nanoTime();
    while (connections != null && !connections.isEmpty()) {
      // The most recently used connection comes first: if it is too old, all are.
      TargetConnection first = connections.peekFirst();
      if (first == null || !first.isUsable(now)) {
        connections.removeFirst();
        if (first != null) {
          first.close();
        }
        continue;
      }
      if (now - first.idleSince() > maxIdleNanos) {
        return null;
      }
      connections.removeFirst();
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
          listener.onFailure(FailureKind.NOT_SENT, "connect failed: " + done.cause().getMessage());
        }
        return;
      }
      TargetConnection connection = done.channel().pipeline().get(TargetConnection.class);
      if (connection == null) {
        request.release();
        listener.onFailure(FailureKind.NOT_SENT, "connection closed before the request was sent");
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
