package org.clementinesail.core.admission;

import java.util.OptionalDouble;

/** Rate at which a queue gets targets while requests wait in it. */
final class DrainRate {
  /** Short enough to follow the loss of targets within the time that callers wait. */
  private static final double WINDOW_NANOS = 2_000_000_000L;

  /** Fewer requests than this give no rate on which a refusal may rest. */
  private static final double LEAST_COUNT = 4;

  private static final double NANOS_PER_SECOND = 1e9;

  private final DecayingCount busyNanos = new DecayingCount(WINDOW_NANOS);
  private final DecayingCount[] admitted = new DecayingCount[RequestRank.COUNT];
  private long busySince;
  private boolean busy;

  DrainRate() {
    for (int rank = 0; rank < admitted.length; rank++) {
      admitted[rank] = new DecayingCount(WINDOW_NANOS);
    }
  }

  /** Records whether requests wait from now on. */
  void recordWaiting(boolean waiting, long now) {
    if (busy) {
      busyNanos.add((double) (now - busySince), now);
    }
    busy = waiting;
    busySince = now;
  }

  /** Records requests that got a target while others or they themselves waited. */
  void recordAdmitted(int rank, int amount, long now) {
    admitted[rank].add(amount, now);
  }

  /**
   * Returns the requests per second that the more urgent ranks leave to a rank, or empty if too few
   * were admitted to tell.
   *
   * @param rank the rank, or -1 for all ranks together
   */
  OptionalDouble perSecond(int rank, long now) {
    double total = 0;
    double more = 0;
    for (int other = 0; other < admitted.length; other++) {
      double count = admitted[other].value(now);
      total += count;
      more += other < rank ? count : 0;
    }
    double nanos = busyNanos.value(now) + (busy ? now - busySince : 0);
    return total < LEAST_COUNT || nanos <= 0
        ? OptionalDouble.empty()
        : OptionalDouble.of((total - more) * NANOS_PER_SECOND / nanos);
  }
}
