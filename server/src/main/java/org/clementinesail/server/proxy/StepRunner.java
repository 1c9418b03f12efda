package org.clementinesail.server.proxy;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Ends a request after an exception in one of its steps, so that its caller is not left waiting.
 */
final class StepRunner {
  private final ExchangeLog log;
  private final List<Runnable> endings;
  private boolean checkFailed;

  /**
   * Creates a runner.
   *
   * @param log receives the exceptions
   * @param endings ways to end the request; all are run in this order, also if one fails
   */
  StepRunner(ExchangeLog log, Runnable... endings) {
    this.log = log;
    this.endings = List.of(endings);
  }

  /** Runs a step; an exception ends the request. */
  void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      log.stepFailed(e);
      end();
    }
  }

  /** Runs a periodic check; an exception ends the request unless a target is at work on it. */
  void check(Runnable check, BooleanSupplier targetAtWork) {
    try {
      check.run();
    } catch (RuntimeException e) {
      boolean inProgress = targetAtWork.getAsBoolean();
      if (!inProgress || !checkFailed) {
        log.stepFailed(e);
      }
      checkFailed = true;
      if (!inProgress) {
        end();
      }
    }
  }

  private void end() {
    for (Runnable ending : endings) {
      try {
        ending.run();
      } catch (RuntimeException e) {
        log.stepFailed(e);
      }
    }
  }
}
