package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.clementinesail.core.ratelimits.RateStatement;
import org.jspecify.annotations.Nullable;

/** Reads and writes the header names and formats of callers and targets. */
public interface Dialect {

  /**
   * Returns the values in the headers of a caller's request.
   *
   * @param request head of the request
   */
  RequestMetadata readMetadata(HttpRequest request);

  /**
   * Replaces the headers for this VM, such as the API key, by those for a target.
   *
   * @param headers copy of the caller's headers without the hop-by-hop ones; changed in place
   * @param forwarding values for the target
   */
  void prepareForTarget(HttpHeaders headers, ForwardingInfo forwarding);

  /**
   * Sets the headers for a VM that serves a request for this one; the caller's others stay.
   *
   * @param headers copy of the caller's headers without the hop-by-hop ones; changed in place
   * @param timeoutMillis time left for the request, in milliseconds
   * @param lastEventId event after which the stream is to continue, or null for a new stream
   */
  void prepareForPeer(HttpHeaders headers, long timeoutMillis, @Nullable String lastEventId);

  /**
   * Sets the id of the request that a response belongs to.
   *
   * @param headers headers of the response; changed in place
   * @param requestId id of the request
   */
  void setRequestId(HttpHeaders headers, String requestId);

  /**
   * Returns whether a response states that the target has not run the request and never will.
   *
   * @param response head of the response
   */
  boolean isRefusal(HttpResponse response);

  /**
   * Returns whether a response has the header that proves that a target sent it. A success response
   * without it counts as lost.
   *
   * @param response head of the response
   */
  boolean hasTargetProof(HttpResponse response);

  /**
   * Returns the request id of a response, or empty if it has none.
   *
   * @param response head of the response
   */
  Optional<String> requestId(HttpResponse response);

  /**
   * Returns the names in lower case of the headers of this dialect that a response has at most
   * once. A response that repeats one is malformed.
   */
  Set<String> singularResponseHeaders();

  /**
   * Returns the IP address and port of the target that caused a refusal, or empty if the response
   * names none.
   *
   * @param response head of the response
   */
  Optional<String> faultyAddress(HttpResponse response);

  /**
   * Returns whether a response states that its target is leaving and wants no new requests.
   *
   * @param response head of the response, of any status
   */
  boolean isLeaving(HttpResponse response);

  /**
   * Returns for how many seconds the target of a refusal wants no requests; empty if the response
   * is no refusal of that kind, or if its time is not a number of 0 or more.
   *
   * @param response head of the response, of any status
   */
  OptionalDouble deferralSeconds(HttpResponse response);

  /**
   * Returns what an answer states about the rate of requests that its target takes.
   *
   * @param response head of the response, of any status
   */
  RateStatement rateStatement(HttpResponse response);

  /**
   * Sets the time after which the caller may retry.
   *
   * @param headers headers of the refusal; changed in place
   * @param seconds delay in seconds
   */
  void setRetryAfter(HttpHeaders headers, double seconds);
}
