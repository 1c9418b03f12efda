package org.clementinesail.server.proxy;

import org.clementinesail.core.desired.Route;
import org.jspecify.annotations.Nullable;

/** Counts what has become of a request's sendings, so that its ending is told truthfully. */
final class AttemptCounts {
  /** Targets that may refuse a request before the caller is told to come back. */
  private static final int MAX_REFUSALS = 4;

  /** Runs beyond the route's attempts that targets may cost which died with them. */
  private static final int MAX_EXTRA_ATTEMPTS = 2;

  private int recordSent;
  private int recordRefusal;
  private int recordPossibleRun;
  private int dead;

  /** Notes a sending. */
  void recordSent() {
    recordSent++;
  }

  /** Notes that a target has not run the request and never will. */
  void recordRefusal() {
    recordRefusal++;
  }

  /** Notes that a target may have run the request. */
  void recordPossibleRun() {
    recordPossibleRun++;
  }

  /** Notes that a target died with the request, or never read it. */
  void recordDeadTarget() {
    dead++;
  }

  int sentCount() {
    return recordSent;
  }

  int possibleRunCount() {
    return recordPossibleRun;
  }

  /** Returns whether the request has certainly not run anywhere. */
  boolean certainlyNotRun() {
    return recordPossibleRun == 0;
  }

  /** Returns whether enough targets have refused the request. */
  boolean refusalLimitReached() {
    return recordRefusal >= MAX_REFUSALS;
  }

  /** Returns whether the request may run once more if the present run is lost. */
  boolean mayRetry(@Nullable Route route) {
    return route != null
        && route.repeatable()
        && recordPossibleRun + 1 < route.maxAttempts() + Math.min(dead, MAX_EXTRA_ATTEMPTS);
  }
}
