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

  /**
   * Returns the caller's request with the headers for its destination; the body is shared, not
   * copied.
   *
   * @param earlierRuns on how many targets the request may have run before
   */
  static FullHttpRequest of(
      ProxyContext context,
      Destination destination,
      HttpRequest head,
      ByteBuf body,
      ForwardingInfo forwarding,
      int earlierRuns) {
    HttpHeaders headers = HeaderCopies.ofRequest(head.headers(), body.readableBytes());
    if (destination.peer() != null) {
      context
          .dialect()
          .prepareForPeer(headers, forwarding.timeoutMillis(), forwarding.lastEventId());
      RelayHeaders.removeFrom(headers);
      RelayHeaders.setEarlierRuns(headers, earlierRuns);
      RelayHeaders.setRank(headers, forwarding.rank());
    } else {
      context.dialect().prepareForTarget(headers, forwarding);
      if (context.relayed()) {
        RelayHeaders.removeFrom(headers);
      }
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        head.method(),
        head.uri(),
        body.retainedDuplicate(),
        headers,
        HeaderCopies.empty());
  }
}
