package org.clementinesail.server.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Checks whether a target accepts connections. A target that refuses them has ended; one that does
 * not respond at all may only be cut off from this VM. Confined to the event loop.
 *
 * <pre>{@code
 * check.check("10.1.0.9:8080", 0, outcome -> ...);
 * }</pre>
 */
final class ListenerCheck {
  /** Timeout of connects; many round trips between the data centres of a site. */
  static final int CONNECT_TIMEOUT_MS = 500;

  /** A process that is ending may accept a connection and reset it as it closes its port. */
  private static final long MIN_OPEN_MS = 10;

  /** A target that resets each connection lives, or is slow to end. */
  private static final int MAX_CONNECTS = 3;

  /** Longest time for which a result can be used again. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<String, PendingCheck> pending = new HashMap<>();
  private final Map<String, Verdict> verdicts = new HashMap<>();

  private record Verdict(Outcome outcome, long at) {}

  /** What a target does with a connection. */
  enum Outcome {
    ACCEPTS,
    REFUSES,
    /** It does not respond, or resets each connection. */
    UNRESPONSIVE
  }

  /**
   * Creates an instance that uses connections on an event loop.
   *
   * @param connectTimeoutMillis time after which a target is unresponsive, in milliseconds
   */
  ListenerCheck(EventLoop loop, int connectTimeoutMillis) {
    this.loop = loop;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {}
                });
  }

  /**
   * Checks a target, or uses a check of it that has been started or done.
   *
   * @param address IP address and port of the target
   * @param maxAgeNanos maximum age in nanoseconds of a result that is used again
   * @param onResult receives on the event loop what the target does
   */
  void check(String address, long maxAgeNanos, Consumer<Outcome> onResult) {
    Verdict known = verdicts.get(address);
    PendingCheck started = pending.get(address);
    if (known != null && System.nanoTime() - known.at() < maxAgeNanos) {
      onResult.accept(known.outcome());
    } else if (started != null) {
      started.listeners.add(onResult);
    } else {
      PendingCheck check = new PendingCheck(address, onResult);
      pending.put(address, check);
      check.connect();
    }
  }

  private final class PendingCheck {
    private final String address;
    private final List<Consumer<Outcome>> listeners = new ArrayList<>();
    private int connects;

    PendingCheck(String address, Consumer<Outcome> onResult) {
      this.address = address;
      this.listeners.add(onResult);
    }

    void connect() {
      connects++;
      bootstrap
          .connect(TargetPool.socketAddress(address))
          .addListener((ChannelFuture done) -> onConnected(done));
    }

    private void onConnected(ChannelFuture done) {
      if (done.isSuccess()) {
        Channel open = done.channel();
        loop.schedule(() -> onStillOpen(open), MIN_OPEN_MS, TimeUnit.MILLISECONDS);
      } else {
        boolean timeout = done.cause() instanceof ConnectTimeoutException;
        boolean refused = done.cause() instanceof ConnectException && !timeout;
        finish(refused ? Outcome.REFUSES : Outcome.UNRESPONSIVE);
      }
    }

    private void onStillOpen(Channel connection) {
      boolean closedByTarget = !connection.isActive();
      connection.close();
      if (closedByTarget && connects < MAX_CONNECTS) {
        connect();
      } else {
        finish(closedByTarget ? Outcome.UNRESPONSIVE : Outcome.ACCEPTS);
      }
    }

    private void finish(Outcome outcome) {
      long now = System.nanoTime();
      pending.remove(address);
      verdicts.values().removeIf(verdict -> now - verdict.at() > RETENTION_NANOS);
      verdicts.put(address, new Verdict(outcome, now));
      listeners.forEach(listener -> listener.accept(outcome));
    }
  }
}
