package org.clementinesail.core.desired;

import java.util.List;

/**
 * Services, deadlines and retry rules for the requests of one host and path prefix.
 *
 * @param name name of the route
 * @param host value of the Host header without port, in any case
 * @param pathPrefix prefix that begins and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMillis longest time that a request may wait for its answer; must be positive
 * @param targetLatencyMillis time within which an answer has its full value
 * @param priority priority of the requests; 0 is the highest
 * @param splits services that share the requests, by weight
 * @param maxAttempts largest number of servers that one request may be sent to
 * @param keyless whether requests need no API key
 * @param resumable whether another run may continue a broken stream
 * @param maxPauseMillis longest pause between events of a stream that is not late; 0 for no limit
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

  /** Whether requests may be repeated. */
  public enum Kind {
    /** Requests may run more than once. */
    IDEMPOTENT,
    /** Requests run at most once. */
    NON_IDEMPOTENT,
    /** Answers are event streams; requests run at most once unless the route is resumable. */
    STREAM
  }

  /**
   * A service's share of a route.
   *
   * @param service name of the service
   * @param weight share relative to the other weights of the route; must not be negative
   */
  public record Split(String service, double weight) {}

  /** Makes the list of splits immutable by copying it. */
  public Route {
    splits = List.copyOf(splits);
  }

  /** Returns whether a request of this route may run more than once. */
  public boolean repeatable() {
    return kind == Kind.IDEMPOTENT || (kind == Kind.STREAM && resumable);
  }

  /**
   * Picks a service by weight.
   *
   * @param fraction random number from 0 (inclusive) to 1 (exclusive)
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
