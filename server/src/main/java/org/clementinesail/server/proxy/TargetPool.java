package org.clementinesail.server.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
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
   * @param requestId responses with another request id are skipped; an empty one needs a new
   *     connection, which is not kept
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
    TargetConnection reused =
        takeIdle(address, maxIdleNanos, connection -> connection.isUsableFor(requestId));
    if (reused != null) {
      return reused.send(requestId, request, listener);
    }
    return connect(
        address, request, listener, connection -> connection.send(requestId, request, listener));
  }

  /**
   * Sends a call that engines answer without a request id, such as the request for a report.
   * Responses with a request id are skipped. Requests do not use its connection afterwards.
   *
   * @param address IP address and port of the engine
   * @param request the call; released by this method
   * @param maxIdleNanos maximum idle time in nanoseconds of a reused connection; 0 for a new one
   * @param listener receives the response on the event loop
   */
  public TargetCall sendEngineCall(
      String address, FullHttpRequest request, long maxIdleNanos, ResponseListener listener) {
    TargetConnection reused = takeIdle(address, maxIdleNanos, TargetConnection::carriesEngineCalls);
    if (reused == null) {
      reused = takeIdle(address, maxIdleNanos, connection -> true);
    }
    if (reused != null) {
      return reused.sendEngineCall(request, listener);
    }
    return connect(
        address, request, listener, connection -> connection.sendEngineCall(request, listener));
  }

  private TargetCall connect(
      String address,
      FullHttpRequest request,
      ResponseListener listener,
      Function<TargetConnection, TargetCall> sender) {
    connectionsOpened++;
    PendingCall pending = new PendingCall(request, listener, sender);
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                TargetConnection connection =
                    new TargetConnection(TargetPool.this, address, dialect);
                channel
                    .pipeline()
                    .addLast(new HttpRequestEncoder(), connection.decoder(), connection);
              }
            })
        .connect(socketAddress(address))
        .addListener((ChannelFuture done) -> pending.onConnected(done));
    return pending;
  }

  /** Returns the socket address of an IP address and port. */
  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
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

  private @Nullable TargetConnection takeIdle(
      String address, long maxIdleNanos, Predicate<TargetConnection> usable) {
    Deque<TargetConnection> connections = idle.getOrDefault(address, new ArrayDeque<>());
    long now = System.nanoTime();
    // The most recently used connection comes first: if it is too old, all are.
    Iterator<TargetConnection> iterator = connections.iterator();
    while (iterator.hasNext()) {
      TargetConnection connection = iterator.next();
      if (!connection.isUsable(now)) {
        iterator.remove();
        connection.close();
      } else if (now - connection.idleSince() > maxIdleNanos) {
        return null;
      } else if (usable.test(connection)) {
        iterator.remove();
        if (connection.readIsEmpty()) {
          return connection;
        }
      }
    }
    return null;
  }

  /** A call whose connection is being established. */
  private static final class PendingCall implements TargetCall {
    private final FullHttpRequest request;
    private final ResponseListener listener;
    private final Function<TargetConnection, TargetCall> sender;
    private @Nullable TargetCall call;
    private boolean cancelled;

    PendingCall(
        FullHttpRequest request,
        ResponseListener listener,
        Function<TargetConnection, TargetCall> sender) {
      this.request = request;
      this.listener = listener;
      this.sender = sender;
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
      call = sender.apply(connection);
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (call != null) {
        call.cancel();
      }
    }

    @Override
    public boolean cancelUnsent() {
      boolean unsent = call == null && !cancelled;
      cancelled |= unsent;
      return unsent;
    }

    @Override
    public void endWait() {
      if (call != null) {
        call.endWait();
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
