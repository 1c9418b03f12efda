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
    boolean proven = context.dialect().hasTargetProof(response);
    return head(response, context.dialect().isRefusal(response), proven);
  }

  /**
   * Reads the head of an answer that another VM has passed on, and removes the headers between VMs.
   * A success is proven only if that VM says which target it is of: what has taken over the address
   * of a VM does not.
   *
   * @param sentAt when the request was sent, in nanoseconds of the monotonic clock
   */
  static ResponseHead ofPeer(ProxyContext context, long sentAt, HttpResponse response) {
    RelayHeaders.target(response, context.routing().fleet())
        .ifPresent(target -> NoticeReader.read(context, target, sentAt, response));
    boolean proven =
        RelayHeaders.namesTarget(response) && context.dialect().hasTargetProof(response);
    ResponseHead head = head(response, RelayHeaders.isNotRun(response), proven);
    RelayHeaders.removeFrom(response.headers());
    return head;
  }

  private static ResponseHead head(HttpResponse response, boolean refusal, boolean proven) {
    HttpHeaders headers = response.headers();
    return new ResponseHead(
        response.status().code(),
        refusal,
        proven,
        headers.get(HttpHeaderNames.CONTENT_TYPE),
        headers.contains(HttpHeaderNames.CONTENT_ENCODING));
  }
}
