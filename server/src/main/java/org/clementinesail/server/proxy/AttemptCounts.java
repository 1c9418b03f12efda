package org.clementinesail.server.proxy;

import org.clementinesail.core.desired.Route;
import org.jspecify.annotations.Nullable;

/** Counts the attempts of a request by outcome, for retry limits and the final status. */
final class AttemptCounts {
  /** Refusals after which the request ends. */
  private static final int MAX_REFUSALS = 4;

  /** Maximum number of attempts that dead targets add to the route's maximum. */
  private static final int MAX_EXTRA_ATTEMPTS = 2;

  private int sentTotal;
  private int refusals;
  private int possibleRuns;
  private int deadTargets;

  /** Records the start of an attempt, even if nothing is sent in the end. */
  void recordSent() {
    sentTotal++;
  }

  /** Records that a target has not run the request and never will. */
  void recordRefusal() {
    refusals++;
  }

  /** Records that a target may have run the request. */
  void recordPossibleRun() {
    possibleRuns++;
  }

  /** Takes back a possible run: a target refused the request after all. */
  void removePossibleRun() {
    possibleRuns--;
  }

  /** Records that a target died during an attempt, or that a stale connection failed. */
  void recordDeadTarget() {
    deadTargets++;
  }

  int sentCount() {
    return sentTotal;
  }

  int possibleRunCount() {
    return possibleRuns;
  }

  /** Returns whether the request has certainly not run anywhere. */
  boolean certainlyNotRun() {
    return possibleRuns == 0;
  }

  /** Returns whether the request has been refused too often to try another target. */
  boolean refusalLimitReached() {
    return refusals >= MAX_REFUSALS;
  }

  /** Returns whether the request may be sent to another target beside the current attempt. */
  boolean mayTryBeside(@Nullable Route route) {
    return !refusalLimitReached() && mayRetry(route);
  }

  /** Returns whether the request may be sent again after the current attempt fails. */
  boolean mayRetry(@Nullable Route route) {
    return route != null
        && route.repeatable()
        && possibleRuns + 1 < route.maxAttempts() + Math.min(deadTargets, MAX_EXTRA_ATTEMPTS);
  }
}
