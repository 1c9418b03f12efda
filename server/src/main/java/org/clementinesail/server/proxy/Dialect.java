package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Header names and formats of callers and targets; translates and decides nothing. */
public interface Dialect {

  /**
   * Reads the head of a caller's request.
   *
   * @param request the head
   */
  RequestMetadata readMetadata(HttpRequest request);

  /**
   * Turns the headers of a caller's request into those for a target.
   *
   * @param headers a copy of the caller's headers, without those of the connection
   * @param forwarding what the target is told
   */
  void prepareForTarget(HttpHeaders headers, ForwardingInfo forwarding);

  /**
   * Returns whether a target says that it has not run the request and never will.
   *
   * @param response head of the target's answer
   */
  boolean isRefusal(HttpResponse response);

  /**
   * Returns whether an answer bears a target's proof that it is its own.
   *
   * @param response head of the target's answer
   */
  boolean hasTargetProof(HttpResponse response);

  /**
   * Returns the request that an answer belongs to, if it says so.
   *
   * @param response head of the target's answer
   */
  Optional<String> requestId(HttpResponse response);

  /**
   * Returns the address of the target that is at fault, if an answer names one.
   *
   * @param response head of the target's answer
   */
  Optional<String> faultyAddress(HttpResponse response);

  /**
   * Tells a caller when to come back.
   *
   * @param headers headers of a refusal
   * @param seconds when to come back
   */
  void setRetryAfter(HttpHeaders headers, double seconds);
}
