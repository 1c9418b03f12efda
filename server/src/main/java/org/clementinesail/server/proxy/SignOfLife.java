package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/**
 * Answers a VM that asks whether the event loop of this one still runs; other requests are passed
 * on. Only on connections between VMs.
 */
final class SignOfLife extends ChannelInboundHandlerAdapter {
  private static final String CUT_OFF_START =
      HttpVersion.HTTP_1_1 + " " + HttpResponseStatus.SERVICE_UNAVAILABLE.codeAsText();

  private final BooleanSupplier reachesTargets;
  private boolean asked;

  /**
   * Creates a handler for one connection.
   *
   * @param reachesTargets whether this VM reaches the targets of all services; else it serves no
   *     other VM and says so
   */
  SignOfLife(BooleanSupplier reachesTargets) {
    this.reachesTargets = reachesTargets;
  }

  /** Returns whether an answer says that the VM is cut off from targets itself. */
  static boolean isOfCutVm(ByteBuf answer) {
    return answer.toString(StandardCharsets.US_ASCII).startsWith(CUT_OFF_START);
  }

  /** Returns the request of a VM that wants a sign of life. */
  static FullHttpRequest request() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.OPTIONS, "*");
    request.headers().set(HttpHeaderNames.HOST, "vm").set(RelayHeaders.ALIVE, "1");
    return request;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request) {
      asked = request.decoderResult().isSuccess() && request.headers().contains(RelayHeaders.ALIVE);
    }
    if (!asked) {
      context.fireChannelRead(message);
      return;
    }
    if (message instanceof LastHttpContent) {
      asked = false;
      HttpResponseStatus status =
          reachesTargets.getAsBoolean()
              ? HttpResponseStatus.OK
              : HttpResponseStatus.SERVICE_UNAVAILABLE;
      FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
      HttpUtil.setContentLength(answer, 0);
      context.writeAndFlush(answer);
    }
    ReferenceCountUtil.release(message);
  }
}
