package org.clementinesail.server.fleet;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.clementinesail.server.proxy.BufferLimit;
import org.clementinesail.server.proxy.HeadSize;
import org.jspecify.annotations.Nullable;

/** Counts the memory of the calls of a connection; stands between decoder and aggregator. */
final class CallMemory extends ChannelInboundHandlerAdapter implements BufferLimit.Holder {
  /** Seconds after which a refused client may call again; as long as the lease of a target. */
  private static final int RETRY_AFTER_SECONDS = 2;

  private final BufferLimit.Reservation reservation;
  private final int maxBodyBytes;
  private @Nullable ChannelHandlerContext context;
  private int completeBytes;
  private int headBytes;
  private int bodyBytes;
  private boolean refused;

  CallMemory(BufferLimit limit, int maxBodyBytes) {
    this.reservation = limit.reservation(this);
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext current, Object message) {
    if (!refused) {
      count(message);
      if (!reservation.resize(completeBytes + headBytes + bodyBytes)) {
        end();
      }
    }
    if (refused) {
      ReferenceCountUtil.release(message);
    } else {
      current.fireChannelRead(message);
    }
  }

  private void count(Object message) {
    if (message instanceof HttpRequest head) {
      headBytes = HeadSize.of(head);
    }
    if (message instanceof HttpContent part) {
      // The aggregator drops a body that is too long, and its rest.
      int size = bodyBytes + part.content().readableBytes();
      bodyBytes = size > maxBodyBytes ? 0 : size;
    }
    if (message instanceof LastHttpContent) {
      completeBytes += headBytes + bodyBytes;
      headBytes = 0;
      bodyBytes = 0;
    }
  }

  /** Releases the memory of the calls that have arrived completely. */
  void allAnswered() {
    completeBytes = 0;
    reservation.resize(refused ? 0 : headBytes + bodyBytes);
  }

  @Override
  public boolean mayBeEnded() {
    return completeBytes == 0;
  }

  /** Refuses the call that is arriving, and closes the connection. */
  @Override
  public void end() {
    refused = true;
    reservation.release();
    ChannelHandlerContext open = context;
    if (open == null) {
      return;
    }
    if (completeBytes > 0) {
      open.close(); // The answer to an earlier call would come first.
      return;
    }
    FullHttpResponse response =
        HttpEndpoint.text(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "text/plain", "");
    HttpUtil.setContentLength(response, 0);
    response
        .headers()
        .set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    open.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext current) {
    refused = true;
    reservation.release();
    current.fireChannelInactive();
  }
}
