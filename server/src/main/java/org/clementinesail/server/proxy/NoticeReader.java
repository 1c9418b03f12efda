package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponse;
import org.clementinesail.core.fleet.TargetStatement;

/** Records what answers of targets state about further requests. */
final class NoticeReader {
  private NoticeReader() {}

  /** Reads the head of a target's answer, whatever its status. */
  static void read(ProxyContext context, TargetStatement target, HttpResponse response) {
    if (context.dialect().isLeaving(response) && context.routing().fleet().recordLeaving(target)) {
      context.targetPool().closeIdle(target.address());
      context.log().write("target leaves", "target", target.id(), "address", target.address());
    }
  }
}
