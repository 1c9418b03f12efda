package org.clementinesail.core.paths;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Which data centres this VM gets answers from late although no engine is at fault.
 *
 * <p>Answers the load over links that lose packets: each lost packet holds a stream up for a
 * retransmission, so nearly every stream over the link is late, while streams of engines in the
 * VM's own data centre are not. The class is not thread-safe.
 */
public final class LinkHealth {
  /** Time over which pauses are counted, and so how long a link is avoided after the last one. */
  private static final long WINDOW_NANOS = 3_000_000_000L;

  /** Pauses in the window that speak of the link; a single one may be an engine's. */
  private static final int MIN_PAUSES = 2;

  /** What a path that begins behind such a link costs more; about the time of a whole stream. */
  private static final double PENALTY_MILLIS = 3_000;

  private final Map<String, Deque<Long>> pauseTimes = new HashMap<>();

  /**
   * Notes that an answer paused too long while no engine of its path was at fault.
   *
   * @param dataCentre data centre that the answer came from
   * @param now present time in nanoseconds
   */
  public void recordPause(String dataCentre, long now) {
    Deque<Long> times = pauseTimes.computeIfAbsent(dataCentre, key -> new ArrayDeque<>());
    times.addLast(now);
    if (times.size() > MIN_PAUSES) {
      times.removeFirst();
    }
  }

  /**
   * Returns what a path that begins in a data centre costs more, in milliseconds.
   *
   * @param dataCentre the data centre
   * @param now present time in nanoseconds
   */
  public double penaltyMillis(String dataCentre, long now) {
    Deque<Long> times = pauseTimes.get(dataCentre);
    boolean degraded =
        times != null && times.size() >= MIN_PAUSES && now - times.getFirst() < WINDOW_NANOS;
    return degraded ? PENALTY_MILLIS : 0;
  }
}
