package org.clementinesail.server.proxy;

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

/**
 * Answers a VM that asks whether the event loop of this one still runs; other requests are passed
 * on. Only on connections between VMs.
 */
final class SignOfLife extends ChannelInboundHandlerAdapter {
  private static final String HEADER = "Relay-Alive";

  private boolean asked;

  /** Returns the request of a VM that wants a sign of life. */
  static FullHttpRequest request() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.OPTIONS, "*");
    request.headers().set(HttpHeaderNames.HOST, "vm").set(HEADER, "1");
    return request;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request) {
      asked = request.decoderResult().isSuccess() && request.headers().contains(HEADER);
    }
    if (!asked) {
      context.fireChannelRead(message);
      return;
    }
    if (message instanceof LastHttpContent) {
      asked = false;
      FullHttpResponse answer =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      HttpUtil.setContentLength(answer, 0);
      context.writeAndFlush(answer);
    }
    ReferenceCountUtil.release(message);
  }
}
