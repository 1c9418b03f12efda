package org.clementinesail.core.desired;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and what may be done with them.
 *
 * @param name name of the route
 * @param host value of the Host header
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request may be kept waiting
 * @param targetLatencyMillis time within which an answer is of full use
 * @param priority rank, 0 first
 * @param splits services that share the requests
 * @param maxAttempts most servers that one request may be sent to
 * @param keyless whether requests need no key
 * @param resumable whether a broken stream may be continued by another run
 * @param maxPauseMillis longest pause between events that is still on time; 0 if none is given
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Kind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    List<Split> splits,
    int maxAttempts,
    boolean keyless,
    boolean resumable,
    long maxPauseMillis) {

  /** What may be repeated. */
  public enum Kind {
    /** Requests may run more than once. */
    IDEMPOTENT,
    /** Requests run once at most. */
    NON_IDEMPOTENT,
    /** Answers are event streams; they run once at most unless they may be resumed. */
    STREAM
  }

  /**
   * A service's share of a route.
   *
   * @param service name of the service
   * @param weight share relative to the other weights
   */
  public record Split(String service, double weight) {}

  /** Copies the splits. */
  public Route {
    splits = List.copyOf(splits);
  }

  /** Returns whether a request of this route may run more than once. */
  public boolean repeatable() {
    return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && resumable);
  }

  /**
   * Returns the service that a draw falls on.
   *
   * @param fraction number from 0 (inclusive) to 1 (exclusive)
   */
  public String pickService(double fraction) {
    double total = splits.stream().mapToDouble(Split::weight).sum();
    double remaining = fraction * total;
    for (Split split : splits) {
      remaining -= split.weight();
      if (remaining < 0) {
        return split.service();
      }
    }
    return splits.get(splits.size() - 1).service();
  }
}
