package org.clementinesail.server.proxy;

import org.clementinesail.core.desired.Route;
import org.jspecify.annotations.Nullable;

/** Counts what has become of a request's sendings, so that its ending is told truthfully. */
final class Runs {
  /** Targets that may refuse a request before the caller is told to come back. */
  private static final int MOST_REFUSALS = 4;

  /** Runs beyond the route's attempts that targets may cost which died with them. */
  private static final int MOST_DEAD = 2;

  private int sent;
  private int refused;
  private int mayHaveRun;
  private int dead;

  /** Notes a sending. */
  void sent() {
    sent++;
  }

  /** Notes that a target has not run the request and never will. */
  void refused() {
    refused++;
  }

  /** Notes that a target may have run the request. */
  void mayHaveRun() {
    mayHaveRun++;
  }

  /** Notes that a target died with the request, or never read it. */
  void died() {
    dead++;
  }

  int sentCount() {
    return sent;
  }

  int mayHaveRunCount() {
    return mayHaveRun;
  }

  /** Returns whether the request has certainly not run anywhere. */
  boolean none() {
    return mayHaveRun == 0;
  }

  /** Returns whether enough targets have refused the request. */
  boolean refusedOften() {
    return refused >= MOST_REFUSALS;
  }

  /** Returns whether the request may run once more if the present run is lost. */
  boolean again(@Nullable Route route) {
    return route != null
        && route.repeatable()
        && mayHaveRun + 1 < route.maxAttempts() + Math.min(dead, MOST_DEAD);
  }
}
