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
      ProxyContext context, HttpRequest head, ByteBuf body, ForwardingInfo forwarding) {
    HttpHeaders headers = HeaderCopies.ofRequest(head.headers(), body.readableBytes());
    context.dialect().prepareForTarget(headers, forwarding);
    if (context.relayed()) {
      RelayHeaders.removeFrom(headers);
    }
    return request(head, body, headers);
  }

  /**
   * Returns the caller's request with headers for another VM; the body is shared, not copied.
   *
   * @param earlierRuns on how many targets the request may have run before
   */
  static FullHttpRequest forPeer(
      ProxyContext context,
      HttpRequest head,
      ByteBuf body,
      ForwardingInfo forwarding,
      int earlierRuns) {
    HttpHeaders headers = HeaderCopies.ofRequest(head.headers(), body.readableBytes());
    context.dialect().prepareForPeer(headers, forwarding.timeoutMillis(), forwarding.lastEventId());
    RelayHeaders.removeFrom(headers);
    RelayHeaders.setEarlierRuns(headers, earlierRuns);
    return request(head, body, headers);
  }

  private static FullHttpRequest request(HttpRequest head, ByteBuf body, HttpHeaders headers) {
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        head.method(),
        head.uri(),
        body.retainedDuplicate(),
        headers,
        HeaderCopies.empty());
  }
}
