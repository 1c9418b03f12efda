package org.clementinesail.server.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/** Collects the parts of the request that arrives on a connection of a caller. */
final class RequestReader {
  private final ProxyContext context;
  private final CallerConnection connection;
  private final IdleTime idleTime;
  private @Nullable HttpRequest head;
  private RequestBody body;

  /**
   * Creates a reader that awaits a request.
   *
   * @param connection receives complete requests and refusals
   * @param idleTime begins anew with each part of a body
   */
  RequestReader(ProxyContext context, CallerConnection connection, IdleTime idleTime) {
    this.context = context;
    this.idleTime = idleTime;
    this.connection = connection;
    this.body = newBody();
  }

  private RequestBody newBody() {
    return new RequestBody(context.buffers(), () -> refuse(Refusal.ofRequestWithoutMemory()));
  }

  /** Returns whether a head has arrived whose body has not ended. */
  boolean isReading() {
    return head != null;
  }

  /** Takes a head, and asks for the body of a caller that waits for that. */
  void begin(ChannelHandlerContext handlerContext, HttpRequest request) {
    head = request;
    if (!body.begin(HeadSize.of(request))) {
      refuse(Refusal.ofRequestWithoutMemory());
    } else if (HttpUtil.is100ContinueExpected(request)) {
      handlerContext.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Takes the next part of the body. */
  void append(HttpContent content) {
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    idleTime.begin();
    switch (body.add(content.content(), context.requestLimits().maxBodyBytes())) {
      case TOO_LONG -> refuse(Refusal.ofTooLargeBody());
      case NO_MEMORY -> refuse(Refusal.ofRequestWithoutMemory());
      case ADDED -> {
        if (content instanceof LastHttpContent) {
          complete(request);
        }
      }
    }
  }

  private void complete(HttpRequest request) {
    head = null;
    body.complete();
    ReceivedRequest received = new ReceivedRequest(request, body, System.nanoTime());
    body = newBody();
    connection.received(received);
  }

  /** Returns whether the body arrives at too low a rate, and records it if so. */
  boolean isLate(long now, ProxyServer server) {
    boolean late = body.isLate(now, server.clientLimits(), context.idleTimeoutMillis());
    if (late) {
      server.limitReached("body_rate");
    }
    return late;
  }

  /** Refuses the request that arrives, and ends the connection. */
  void refuse(Refusal reason) {
    body.release();
    connection.refuseAndClose(reason.of(head));
  }

  /** Releases what has arrived of a request. */
  void release() {
    body.release();
  }
}
