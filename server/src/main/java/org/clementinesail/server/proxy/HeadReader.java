package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.responses.ResponseHead;

/** Reads the head of an answer of a target, or of the VM that serves a request for this one. */
final class HeadReader {
  private HeadReader() {}

  /**
   * Reads the head of a target's answer and records what it states about further requests.
   *
   * @param sentAt when the request was sent, in nanoseconds of the monotonic clock
   */
  static ResponseHead ofTarget(
      ProxyContext context, TargetStatement target, long sentAt, HttpResponse response) {
    NoticeReader.read(context, target, sentAt, response);
    return head(context, response, context.dialect().isRefusal(response));
  }

  /**
   * Reads the head of an answer that another VM has passed on, and removes the headers between VMs.
   *
   * @param sentAt when the request was sent, in nanoseconds of the monotonic clock
   */
  static ResponseHead ofPeer(ProxyContext context, long sentAt, HttpResponse response) {
    RelayHeaders.target(response, context.routing().fleet())
        .ifPresent(target -> NoticeReader.read(context, target, sentAt, response));
    ResponseHead head = head(context, response, RelayHeaders.isNotRun(response));
    RelayHeaders.removeFrom(response.headers());
    return head;
  }

  private static ResponseHead head(ProxyContext context, HttpResponse response, boolean refusal) {
    HttpHeaders headers = response.headers();
    return new ResponseHead(
        response.status().code(),
        refusal,
        context.dialect().hasTargetProof(response),
        headers.get(HttpHeaderNames.CONTENT_TYPE),
        headers.contains(HttpHeaderNames.CONTENT_ENCODING));
  }
}
