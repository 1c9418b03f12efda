package org.clementinesail.server.proxy;

import org.jspecify.annotations.Nullable;

/**
 * Keeps the stalled attempt of a request open beside the current one, as its engine may be silent
 * for a short time only: the first of the two that goes on is kept, or the one that does not fail.
 */
final class StalledAttempt {
  private final AttemptCounts counts;
  private @Nullable Attempt stalled;

  /**
   * Creates an instance without a stalled attempt.
   *
   * @param counts counts of the request; all of its attempts but the current one count as possible
   *     runs
   */
  StalledAttempt(AttemptCounts counts) {
    this.counts = counts;
  }

  /** Keeps an attempt that has stalled; cancels the one that was kept before. */
  void keep(Attempt attempt) {
    cancel();
    stalled = attempt;
    counts.recordPossibleRun(attempt.target().id());
  }

  /** Pauses or resumes reading the response of the attempt that is kept. */
  void setReading(boolean reading) {
    if (stalled != null) {
      stalled.setReading(reading);
    }
  }

  /** Cancels the attempt that is kept, if there is one. */
  void cancel() {
    if (stalled != null) {
      stalled.cancel();
      stalled = null;
    }
  }

  /** Cancels the other attempt after one of the two has gone on. */
  void settle(Attempt progressing, @Nullable Attempt current) {
    if (progressing != stalled) {
      cancel();
      return;
    }
    stalled = null;
    counts.removePossibleRun(progressing.target().id());
    counts.removeDeadTarget(progressing.target().id());
    if (current != null && current != progressing) {
      counts.recordPossibleRun(current.target().id());
      current.cancel();
    }
  }

  /**
   * Returns the attempt that goes on after one of the two has failed, or null if none is left.
   *
   * @param failed the attempt that has failed
   * @param current the current attempt
   * @param possibleRun whether the target of the failed attempt may have run the request
   */
  @Nullable Attempt afterFailure(Attempt failed, @Nullable Attempt current, boolean possibleRun) {
    Attempt kept = stalled;
    stalled = null;
    if (kept == null) {
      return null;
    }
    if (failed != kept || !possibleRun) {
      counts.removePossibleRun(kept.target().id());
    }
    if (failed != kept && possibleRun) {
      counts.recordPossibleRun(failed.target().id());
    }
    return failed == kept ? current : kept;
  }
}
