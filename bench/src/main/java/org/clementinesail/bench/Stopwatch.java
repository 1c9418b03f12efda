package org.clementinesail.bench;

/**
 * Measures the time per call as the best of 7 rounds, so the rounds that warm up the JVM drop out.
 */
final class Stopwatch {
  private static final int ROUNDS = 7;

  private Stopwatch() {}

  static double nanosPerCall(int calls, Runnable action) {
    double best = Double.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      long startedAt = System.nanoTime();
      for (int i = 0; i < calls; i++) {
        action.run();
      }
      best = Math.min(best, (System.nanoTime() - startedAt) / (double) calls);
    }
    return best;
  }
}
