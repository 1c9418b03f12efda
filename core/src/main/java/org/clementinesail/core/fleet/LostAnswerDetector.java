package org.clementinesail.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects targets that lose answers although their health checks pass.
 *
 * <p>A target that accepts requests and drops some of them wastes the work on each lost answer, and
 * attracts more requests because it looks idle. The class is not thread-safe.
 */
public final class LostAnswerDetector {
  /** Number of losses within the window that make a target suspect; one may have another cause. */
  private static final int MIN_LOSSES = 2;

  /** Time within which losses are counted, and the shortest time for which a target is suspect. */
  private static final long WINDOW_NANOS = 3_000_000_000L;

  /**
   * Longest time for which a target is suspect. The time doubles whenever it loses another answer
   * while it is suspect or within the window after that.
   */
  private static final long MAX_SUSPECT_NANOS = 12_000_000_000L;

  /**
   * Losses of {@link #COMMON_CAUSE_TARGETS} different targets within this time have a common cause
   * on this VM or its network links, so no target is at fault.
   */
  private static final long COMMON_CAUSE_WINDOW_NANOS = 300_000_000L;

  private static final int COMMON_CAUSE_TARGETS = 3;

  private static final class TargetLosses {
    final Deque<Long> times = new ArrayDeque<>();
    long suspectNanos;
    long suspectUntil;

    boolean isExpired(long now) {
      boolean noRecentLoss = times.isEmpty() || now - times.getLast() > WINDOW_NANOS;
      return noRecentLoss && (suspectNanos == 0 || now - suspectUntil > WINDOW_NANOS);
    }
  }

  private record Loss(String id, long at) {}

  private final Map<String, TargetLosses> lossesByTarget = new HashMap<>();
  private final Deque<Loss> recentLosses = new ArrayDeque<>();

  /**
   * Records a lost answer.
   *
   * @param id identity of the target
   * @param now current time in nanoseconds of the monotonic clock
   * @return nanoseconds from now for which the target is suspect; 0 if it is not
   */
  public long recordLoss(String id, long now) {
    lossesByTarget.values().removeIf(losses -> losses.isExpired(now));
    TargetLosses losses = lossesByTarget.computeIfAbsent(id, key -> new TargetLosses());
    if (haveCommonCause(id, now)) {
      losses.times.clear();
      return 0;
    }
    losses.times.addLast(now);
    while (now - losses.times.getFirst() > WINDOW_NANOS) {
      losses.times.removeFirst();
    }
    boolean recurring = losses.suspectNanos > 0 && now - losses.suspectUntil < WINDOW_NANOS;
    if (losses.times.size() < MIN_LOSSES && !recurring) {
      return 0;
    }
    losses.times.clear();
    losses.suspectNanos =
        recurring ? Math.min(2 * losses.suspectNanos, MAX_SUSPECT_NANOS) : WINDOW_NANOS;
    losses.suspectUntil = now + losses.suspectNanos;
    return losses.suspectNanos;
  }

  private boolean haveCommonCause(String id, long now) {
    recentLosses.addLast(new Loss(id, now));
    while (now - recentLosses.getFirst().at() > COMMON_CAUSE_WINDOW_NANOS) {
      recentLosses.removeFirst();
    }
    return recentLosses.stream().map(Loss::id).distinct().count() >= COMMON_CAUSE_TARGETS;
  }
}
