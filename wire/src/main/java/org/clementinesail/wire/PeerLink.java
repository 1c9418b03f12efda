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

/** The connecting side of the way to one VM; replaces a connection that breaks or goes silent. */
final class PeerLink {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int PING_MS = 700;
  private static final int MAX_MISSED_PINGS = 2;
  private static final int RECONNECT_MS = 200;
  private static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(8 * 1_024 * 1_024, 64 * 1_024 * 1_024);

  private final String self;
  private final String ownAddress;
  private final String vm;
  private final InetSocketAddress address;
  private final SharedSecret secret;
  private final Traffic traffic;
  private final EventLoopGroup group;
  private final PeerListener listener;
  private volatile @Nullable Channel ready;
  private volatile PeerReach reach = PeerReach.SILENT;
  private volatile boolean closed;

  PeerLink(
      String self,
      @Nullable InetSocketAddress ownAddress,
      String vm,
      InetSocketAddress address,
      SharedSecret secret,
      Traffic traffic,
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

  PeerReach reach() {
    return reach;
  }

  boolean send(Frame frame) {
    Channel channel = ready;
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
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new IdleStateHandler(PING_MS, 0, 0, TimeUnit.MILLISECONDS));
                FrameCodec.install(channel.pipeline(), traffic);
                channel.pipeline().addLast(new Connected());
              }
            })
        .connect(address)
        .addListener((ChannelFuture done) -> connectDone(done));
  }

  void close() {
    closed = true;
    Channel channel = ready;
    if (channel != null) {
      channel.close();
    }
  }

  private void connectDone(ChannelFuture done) {
    if (!done.isSuccess()) {
      boolean refused = isRefusal(done.cause());
      reach = refused ? PeerReach.REFUSED : PeerReach.SILENT;
      reconnectLater();
    }
  }

  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void reconnectLater() {
    if (!closed && !group.isShuttingDown()) {
      var unused = group.schedule(this::connect, RECONNECT_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Proves itself to the accepting side, then keeps the connection under watch. */
  private final class Connected extends SimpleChannelInboundHandler<Frame> {
    private ByteString serverNonce = ByteString.EMPTY;
    private final ByteString clientNonce = secret.nonce();
    private int missedPings;

    Connected() {
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
                .setMac(secret.prove("client", serverNonce, clientNonce, self + "@" + ownAddress))
                .build();
        context.writeAndFlush(Frame.newBuilder().setAuthAnswer(answer).build());
      } else if (frame.hasAuthDone()) {
        finish(context, frame.getAuthDone().getMac());
      } else if (!frame.hasPing()) {
        listener.received(vm, frame);
      }
    }

    private void finish(ChannelHandlerContext context, ByteString proof) {
      ByteString expected = secret.prove("server", serverNonce, clientNonce, vm);
      if (!SharedSecret.same(expected, proof)) {
        Logger.warn("{} at {} is another VM or does not hold the shared secret", vm, address);
        context.close();
        return;
      }
      FrameCodec.allowLargeFrames(context.pipeline());
      ready = context.channel();
      reach = PeerReach.CONNECTED;
      listener.connected(vm);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (!(event instanceof IdleStateEvent)) {
        return;
      }
      if (missedPings == MAX_MISSED_PINGS) {
        reach = PeerReach.SILENT;
        context.close();
        return;
      }
      missedPings++;
      if (ready == context.channel()) {
        context.writeAndFlush(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (ready == context.channel()) {
        ready = null;
      }
      if (reach == PeerReach.CONNECTED) {
        reach = PeerReach.SILENT;
      }
      reconnectLater();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
