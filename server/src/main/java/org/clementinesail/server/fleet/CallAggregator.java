package org.clementinesail.server.fleet;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpContentException;

/** Passes on a call with too long a body as a failed one, so that its answer comes in order. */
final class CallAggregator extends HttpObjectAggregator {
  CallAggregator(int maxBodyBytes) {
    super(maxBodyBytes);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    HttpRequest head = (HttpRequest) oversized;
    FullHttpRequest failed =
        new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri());
    failed.headers().set(head.headers());
    failed.setDecoderResult(
        DecoderResult.failure(new TooLongHttpContentException("body is too long")));
    context.fireChannelRead(failed);
  }
}
