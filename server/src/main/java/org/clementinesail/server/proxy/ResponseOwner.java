package org.clementinesail.server.proxy;

import java.util.Optional;

/** Which request a response on a connection belongs to. */
enum ResponseOwner {
  /** The request in progress. */
  CURRENT_REQUEST,
  /** Another request; the response to the current one may follow. */
  OTHER_REQUEST,
  /** Cannot be told; the response must not be used. */
  UNKNOWN;

  /**
   * Decides by the request ids. Only the first response of a connection may lack the id: on a
   * reused connection it may be a late copy of an earlier response.
   *
   * @param requestId id of the request in progress; empty if it has none
   * @param responseId id in the response
   * @param reused whether the connection has carried a response before
   */
  static ResponseOwner of(String requestId, Optional<String> responseId, boolean reused) {
    if (requestId.isEmpty()) {
      return CURRENT_REQUEST;
    }
    if (responseId.isEmpty()) {
      return reused ? UNKNOWN : CURRENT_REQUEST;
    }
    return responseId.get().equals(requestId) ? CURRENT_REQUEST : OTHER_REQUEST;
  }

  /**
   * Decides for a call that targets answer without a request id.
   *
   * @param responseId id in the response
   */
  static ResponseOwner ofEngineCall(Optional<String> responseId) {
    return responseId.isPresent() ? OTHER_REQUEST : CURRENT_REQUEST;
  }
}
