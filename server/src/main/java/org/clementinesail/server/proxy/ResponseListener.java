package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives a target's answer on the event loop; one of end and broken comes last. */
public interface ResponseListener {

  /** Why an answer broke off. */
  enum FailureKind {
    /** Nothing of the request was sent. */
    NOT_SENT,
    /** A connection that had been idle broke before any answer; the request may have been read. */
    STALE_CONNECTION,
    /** The request was sent and the answer did not come whole. */
    INCOMPLETE
  }

  /**
   * The head has arrived.
   *
   * @param head the head
   */
  void onHead(HttpResponse head);

  /**
   * A part of the body has arrived.
   *
   * @param content the part, released after the call
   */
  void onContent(ByteBuf content);

  /** The answer is whole. */
  void onComplete();

  /**
   * The answer will not come whole.
   *
   * @param kind what happened
   * @param reason for the log
   */
  void onFailure(FailureKind kind, String reason);
}
