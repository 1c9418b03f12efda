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
public final class LostAnswers {
  /** Answers lost within the window that speak of the target; one may be an accident. */
  private static final int FEWEST_LOST = 2;

  /** Time within which they are counted, and the least for which a target is set aside. */
  private static final long WINDOW_NANOS = 3_000_000_000L;

  /** The longest time for which a target that goes on losing answers is set aside. */
  private static final long MOST_ASIDE_NANOS = 12_000_000_000L;

  /** Losses of different targets within this time have one cause, on this VM or its links. */
  private static final long TOGETHER_NANOS = 300_000_000L;

  /** How many different targets that takes. */
  private static final int TOGETHER_TARGETS = 3;

  private static final class Losses {
    final Deque<Long> times = new ArrayDeque<>();
    long asideNanos;
    long asideUntil;

    boolean forgotten(long now) {
      boolean quiet = times.isEmpty() || now - times.getLast() > WINDOW_NANOS;
      return quiet && (asideNanos == 0 || now - asideUntil > WINDOW_NANOS);
    }
  }

  private record Loss(String id, long at) {}

  private final Map<String, Losses> targets = new HashMap<>();
  private final Deque<Loss> latest = new ArrayDeque<>();

  /**
   * Notes a lost answer.
   *
   * @param id identity of the target
   * @param now present time in nanoseconds
   * @return for how many nanoseconds the target is to be set aside; 0 if it is not
   */
  public long lost(String id, long now) {
    targets.values().removeIf(losses -> losses.forgotten(now));
    Losses losses = targets.computeIfAbsent(id, key -> new Losses());
    if (manyTargets(id, now)) {
      losses.times.clear();
      return 0;
    }
    losses.times.addLast(now);
    while (now - losses.times.getFirst() > WINDOW_NANOS) {
      losses.times.removeFirst();
    }
    boolean relapse = losses.asideNanos > 0 && now - losses.asideUntil < WINDOW_NANOS;
    if (losses.times.size() < FEWEST_LOST && !relapse) {
      return 0;
    }
    losses.times.clear();
    losses.asideNanos = relapse ? Math.min(2 * losses.asideNanos, MOST_ASIDE_NANOS) : WINDOW_NANOS;
    losses.asideUntil = now + losses.asideNanos;
    return losses.asideNanos;
  }

  private boolean manyTargets(String id, long now) {
    latest.addLast(new Loss(id, now));
    while (now - latest.getFirst().at() > TOGETHER_NANOS) {
      latest.removeFirst();
    }
    return latest.stream().map(Loss::id).distinct().count() >= TOGETHER_TARGETS;
  }
}
