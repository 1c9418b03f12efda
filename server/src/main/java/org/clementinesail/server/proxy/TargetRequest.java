package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** A caller's request as a target gets it. */
final class TargetRequest {
  private TargetRequest() {}

  /** Returns the request with the same method, path and body; the body is shared. */
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
