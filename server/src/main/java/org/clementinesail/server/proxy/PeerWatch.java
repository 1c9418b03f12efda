package org.clementinesail.server.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.reachability.PeerLiveness;
import org.clementinesail.core.reachability.PeerPicker;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.server.logging.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Notices that a VM which serves requests for this one has frozen, or reaches no target any more:
 * asks it for signs of life while it sends nothing. Confined to the event loop.
 */
final class PeerWatch {
  /** Timeout of connects; many round trips between the data centres of a site. */
  private static final int CONNECT_TIMEOUT_MS = 500;

  private final PeerPicker picker;
  private final DecisionLog log;
  private final Bootstrap bootstrap;
  private final PeerLiveness liveness = new PeerLiveness();
  private final Map<PeerVm, Line> lines = new HashMap<>();
  private final Set<PeerVm> reported = new HashSet<>();

  /**
   * Creates a watch without VMs.
   *
   * @param loop event loop that all methods are called on
   * @param picker learns which VMs have frozen
   * @param log receives a line when a VM has frozen, and when it responds again
   */
  PeerWatch(EventLoop loop, PeerPicker picker, DecisionLog log) {
    this.picker = picker;
    this.log = log;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
  }

  /** Records that a VM has got a request. */
  void recordBegin(PeerVm peer) {
    liveness.recordBegin(peer);
  }

  /** Records the end of a request at a VM. */
  void recordEnd(PeerVm peer) {
    liveness.recordEnd(peer);
  }

  /** Records that bytes of a VM have arrived. */
  void recordHeard(PeerVm peer) {
    if (liveness.isFrozen(peer)) {
      log.write("other VM serves its requests again", "peer", peer.name());
    }
    liveness.recordHeard(peer);
    reported.remove(peer);
  }

  /**
   * Returns whether no VM is watched and no connection is open; {@link #tick} does nothing then.
   */
  boolean isQuiet() {
    return lines.isEmpty() && !liveness.isWatching();
  }

  /** Returns whether a VM that serves requests for this one gives no sign of life. */
  boolean isFrozen(PeerVm peer) {
    return liveness.isFrozen(peer);
  }

  /**
   * Asks the VMs that send nothing.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  void tick(long now) {
    liveness.tick(now).forEach(peer -> lines.computeIfAbsent(peer, Line::new).ask());
    if (!lines.isEmpty()) {
      List.copyOf(lines.keySet()).stream().filter(p -> !liveness.isWatched(p)).forEach(this::end);
    }
    for (PeerVm peer : liveness.frozen()) {
      picker.recordFrozen(peer.name(), now);
      if (reported.add(peer)) {
        logFrozen(peer);
      }
    }
  }

  private void logFrozen(PeerVm peer) {
    log.write(
        "other VM does not serve its requests",
        "peer",
        peer.name(),
        "address",
        peer.address(),
        "requests",
        liveness.requests(peer),
        "silent_ms",
        TimeUnit.NANOSECONDS.toMillis(liveness.silentNanos(peer)));
  }

  private void end(PeerVm peer) {
    reported.remove(peer);
    Line line = lines.remove(peer);
    if (line != null) {
      line.close();
    }
  }

  /** The connection on which one VM is asked; one question at a time. */
  @ChannelHandler.Sharable
  private final class Line extends ChannelInboundHandlerAdapter {
    private final PeerVm peer;
    private @Nullable Channel channel;
    private boolean waiting;
    private boolean closed;

    Line(PeerVm peer) {
      this.peer = peer;
    }

    void ask() {
      if (waiting) {
        return;
      }
      waiting = true;
      if (channel != null && channel.isActive()) {
        channel.writeAndFlush(SignOfLife.request());
        return;
      }
      bootstrap
          .clone()
          .handler(
              new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel opened) {
                  opened.pipeline().addLast(new HttpRequestEncoder(), Line.this);
                }
              })
          .connect(TargetPool.socketAddress(peer.address()))
          .addListener((ChannelFuture done) -> onConnected(done));
    }

    private void onConnected(ChannelFuture done) {
      if (closed) {
        done.channel().close();
      } else if (done.isSuccess()) {
        channel = done.channel();
        channel.writeAndFlush(SignOfLife.request());
      } else {
        waiting = false;
        // A VM that refuses connections, as one that stops does, has not frozen.
        boolean timeout = done.cause() instanceof ConnectTimeoutException;
        if (done.cause() instanceof ConnectException && !timeout) {
          recordHeard(peer);
        }
      }
    }

    void close() {
      closed = true;
      if (channel != null) {
        channel.close();
      }
    }

    private void onSign() {
      waiting = false;
      if (!closed) {
        recordHeard(peer);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      boolean cutOff = message instanceof ByteBuf answer && SignOfLife.isOfCutVm(answer);
      ReferenceCountUtil.release(message);
      waiting = false;
      if (!cutOff) {
        onSign();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      onSign();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      log.write("asking another VM failed", "peer", peer.name(), "reason", cause);
      context.close();
    }
  }
}
