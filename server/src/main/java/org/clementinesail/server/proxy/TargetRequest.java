package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the request that is sent to a target. */
final class TargetRequest {
  private TargetRequest() {}

  /** Returns the caller's request with headers for the target; the body is shared, not copied. */
  static FullHttpRequest of(
      Dialect dialect, HttpRequest head, ByteBuf body, ForwardingInfo forwarding) {
    HttpHeaders headers = HeaderCopies.ofRequest(head.headers(), body.readableBytes());
    dialect.prepareForTarget(headers, forwarding);
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        head.method(),
        head.uri(),
        body.retainedDuplicate(),
        headers,
        HeaderCopies.empty());
  }
}
