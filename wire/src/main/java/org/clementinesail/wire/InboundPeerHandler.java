package org.clementinesail.wire;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.clementinesail.wire.proto.AuthAnswer;
import org.clementinesail.wire.proto.AuthChallenge;
import org.clementinesail.wire.proto.AuthDone;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Ping;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Handles an accepted connection: authenticates the other VM, then receives its frames. */
final class InboundPeerHandler extends SimpleChannelInboundHandler<Frame> {
  /** Receives events of authenticated connections. */
  interface SessionListener {
    /** Called once the VM is authenticated; the address is empty if it accepts no connections. */
    void opened(String vm, String address, Channel channel);

    void closed(String vm, Channel channel);
  }

  private final String self;
  private final SharedSecret secret;
  private final PeerListener listener;
  private final SessionListener sessionListener;
  private final ByteString nonce;
  private @Nullable String vm;

  InboundPeerHandler(
      String self, SharedSecret secret, PeerListener listener, SessionListener sessionListener) {
    super(Frame.class);
    this.self = self;
    this.secret = secret;
    this.listener = listener;
    this.sessionListener = sessionListener;
    this.nonce = secret.newNonce();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    AuthChallenge challenge = AuthChallenge.newBuilder().setNonce(nonce).build();
    context.writeAndFlush(Frame.newBuilder().setAuthChallenge(challenge).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    String sender = vm;
    if (sender == null) {
      authenticate(context, frame);
    } else if (frame.hasPing()) {
      Ping answer = Ping.newBuilder().setAnswer(true).build();
      context.writeAndFlush(Frame.newBuilder().setPing(answer).build());
    } else {
      listener.received(sender, frame);
    }
  }

  private void authenticate(ChannelHandlerContext context, Frame frame) {
    AuthAnswer answer = frame.getAuthAnswer();
    ByteString expected =
        secret.computeMac(
            "client", nonce, answer.getNonce(), answer.getVm() + "@" + answer.getAddress());
    if (!frame.hasAuthAnswer() || !SharedSecret.constantTimeEquals(expected, answer.getMac())) {
      Logger.warn("closed a connection of a peer that did not prove that it has the shared secret");
      context.close();
      return;
    }
    vm = answer.getVm();
    FrameCodec.allowLargeFrames(context.pipeline());
    ByteString mac = secret.computeMac("server", nonce, answer.getNonce(), self);
    context.writeAndFlush(
        Frame.newBuilder().setAuthDone(AuthDone.newBuilder().setMac(mac)).build());
    sessionListener.opened(answer.getVm(), answer.getAddress(), context.channel());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    String sender = vm;
    if (sender != null) {
      sessionListener.closed(sender, context.channel());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
