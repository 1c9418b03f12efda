package org.clementinesail.wire;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.clementinesail.wire.proto.AuthAnswer;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Ping;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** The outbound connection to one VM; reconnects if it is closed or pings are not answered. */
final class PeerLink {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int PING_INTERVAL_MS = 700;
  private static final int MAX_MISSED_PINGS = 2;
  private static final int RECONNECT_DELAY_MS = 200;

  /** Low and high limit of the write buffer in bytes. */
  private static final WriteBufferWaterMark WRITE_WATER_MARK =
      new WriteBufferWaterMark(8 * 1_024 * 1_024, 64 * 1_024 * 1_024);

  private final String self;
  private final String ownAddress;
  private final String vm;
  private final InetSocketAddress address;
  private final SharedSecret secret;
  private final TrafficCounters traffic;
  private final EventLoopGroup group;
  private final PeerListener listener;
  private volatile @Nullable Channel readyChannel;
  private volatile PeerReachability reachability = PeerReachability.UNRESPONSIVE;
  private volatile boolean closed;

  PeerLink(
      String self,
      @Nullable InetSocketAddress ownAddress,
      String vm,
      InetSocketAddress address,
      SharedSecret secret,
      TrafficCounters traffic,
      EventLoopGroup group,
      PeerListener listener) {
    this.self = self;
    this.ownAddress = ownAddress == null ? "" : PeerAddress.format(ownAddress);
    this.vm = vm;
    this.address = address;
    this.secret = secret;
    this.traffic = traffic;
    this.group = group;
    this.listener = listener;
  }

  PeerReachability reachability() {
    return reachability;
  }

  boolean send(Frame frame) {
    Channel channel = readyChannel;
    if (channel == null || !channel.isWritable()) {
      return false;
    }
    channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }

  void connect() {
    if (closed) {
      return;
    }
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new IdleStateHandler(PING_INTERVAL_MS, 0, 0, TimeUnit.MILLISECONDS));
                FrameCodec.install(channel.pipeline(), traffic);
                channel.pipeline().addLast(new OutboundPeerHandler());
              }
            })
        .connect(address)
        .addListener((ChannelFuture done) -> onConnectDone(done));
  }

  void close() {
    closed = true;
    Channel channel = readyChannel;
    if (channel != null) {
      channel.close();
    }
  }

  private void onConnectDone(ChannelFuture done) {
    if (!done.isSuccess()) {
      boolean refused = isConnectionRefused(done.cause());
      reachability = refused ? PeerReachability.REFUSED : PeerReachability.UNRESPONSIVE;
      scheduleReconnect();
    }
  }

  private static boolean isConnectionRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void scheduleReconnect() {
    if (!closed && !group.isShuttingDown()) {
      var unused = group.schedule(this::connect, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Authenticates with the accepting VM, then receives its frames and sends pings when idle. */
  private final class OutboundPeerHandler extends SimpleChannelInboundHandler<Frame> {
    private ByteString serverNonce = ByteString.EMPTY;
    private final ByteString clientNonce = secret.newNonce();
    private int missedPings;

    OutboundPeerHandler() {
      super(Frame.class);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
      missedPings = 0;
      if (frame.hasAuthChallenge()) {
        serverNonce = frame.getAuthChallenge().getNonce();
        AuthAnswer answer =
            AuthAnswer.newBuilder()
                .setVm(self)
                .setNonce(clientNonce)
                .setAddress(ownAddress)
                .setMac(
                    secret.computeMac("client", serverNonce, clientNonce, self + "@" + ownAddress))
                .build();
        context.writeAndFlush(Frame.newBuilder().setAuthAnswer(answer).build());
      } else if (frame.hasAuthDone()) {
        completeHandshake(context, frame.getAuthDone().getMac());
      } else if (!frame.hasPing()) {
        listener.received(vm, frame);
      }
    }

    private void completeHandshake(ChannelHandlerContext context, ByteString mac) {
      ByteString expected = secret.computeMac("server", serverNonce, clientNonce, vm);
      if (!SharedSecret.constantTimeEquals(expected, mac)) {
        Logger.warn(
            "closed the connection to {} at {}: it is another VM or does not have the shared"
                + " secret",
            vm,
            address);
        context.close();
        return;
      }
      FrameCodec.allowLargeFrames(context.pipeline());
      readyChannel = context.channel();
      reachability = PeerReachability.CONNECTED;
      listener.connected(vm);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (!(event instanceof IdleStateEvent)) {
        return;
      }
      if (missedPings == MAX_MISSED_PINGS) {
        reachability = PeerReachability.UNRESPONSIVE;
        context.close();
        return;
      }
      // Also counts during the handshake, when no ping is sent, so that a stalled one times out.
      missedPings++;
      if (readyChannel == context.channel()) {
        context.writeAndFlush(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (readyChannel == context.channel()) {
        readyChannel = null;
      }
      if (reachability == PeerReachability.CONNECTED) {
        reachability = PeerReachability.UNRESPONSIVE;
      }
      scheduleReconnect();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
