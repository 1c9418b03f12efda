package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives a target's response on the event loop; onComplete or onFailure comes last. */
public interface ResponseListener {

  /** How a request or its response failed. */
  enum FailureKind {
    /** Nothing of the request was sent. */
    NOT_SENT,
    /** A reused connection failed before any response; the request may have been read. */
    STALE_CONNECTION,
    /** The request was sent and the response is missing or incomplete. */
    INCOMPLETE
  }

  /**
   * Receives the head of the response.
   *
   * @param head status and headers
   */
  void onHead(HttpResponse head);

  /**
   * Receives a part of the body.
   *
   * @param content the part; released after the call
   */
  void onContent(ByteBuf content);

  /** Called when the response is complete. */
  void onComplete();

  /**
   * Called when the response will not be completed.
   *
   * @param kind what failed
   * @param reason description for the log
   */
  void onFailure(FailureKind kind, String reason);
}
