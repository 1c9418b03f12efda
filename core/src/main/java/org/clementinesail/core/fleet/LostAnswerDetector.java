package org.clementinesail.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells targets that lose answers, though their health checks pass, by what becomes of requests.
 *
 * <p>Answers the load on a target that takes requests and drops a part of them: each is a request
 * that ran in vain, and the target looks idle and so attracts more. The class is not thread-safe.
 */
public final class LostAnswerDetector {
  /** Answers lost within the window that speak of the target; one may be an accident. */
  private static final int MIN_LOSSES = 2;

  /** Time within which they are counted, and the least for which a target is set aside. */
  private static final long WINDOW_NANOS = 3_000_000_000L;

  /** The longest time for which a target that goes on losing answers is set aside. */
  private static final long MAX_SUSPECT_NANOS = 12_000_000_000L;

  /** Losses of different targets within this time have one cause, on this VM or its links. */
  private static final long COMMON_CAUSE_WINDOW_NANOS = 300_000_000L;

  /** How many different targets that takes. */
  private static final int COMMON_CAUSE_TARGETS = 3;

  private static final class TargetLosses {
    final Deque<Long> times = new ArrayDeque<>();
    long suspectNanos;
    long suspectUntil;

    boolean isExpired(long now) {
      boolean quiet = times.isEmpty() || now - times.getLast() > WINDOW_NANOS;
      return quiet && (suspectNanos == 0 || now - suspectUntil > WINDOW_NANOS);
    }
  }

  private record Loss(String id, long at) {}

  private final Map<String, TargetLosses> lossesByTarget = new HashMap<>();
  private final Deque<Loss> recentLosses = new ArrayDeque<>();

  /**
   * Notes a lost answer.
   *
   * @param id identity of the target
   * @param now present time in nanoseconds
   * @return for how many nanoseconds the target is to be set aside; 0 if it is not
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
    boolean relapse = losses.suspectNanos > 0 && now - losses.suspectUntil < WINDOW_NANOS;
    if (losses.times.size() < MIN_LOSSES && !relapse) {
      return 0;
    }
    losses.times.clear();
    losses.suspectNanos =
        relapse ? Math.min(2 * losses.suspectNanos, MAX_SUSPECT_NANOS) : WINDOW_NANOS;
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
