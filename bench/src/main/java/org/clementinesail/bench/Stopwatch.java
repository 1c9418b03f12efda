package org.clementinesail.bench;

/** Times a repeated action after a warm-up, and takes the best of some rounds. */
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
