package org.clementinesail.core.paths;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects degraded links to other data centres from late answers that no engine caused.
 *
 * <p>It is meant for links that lose packets: each lost packet delays a stream until it is
 * retransmitted, so nearly every stream over the link is late, while streams from engines in the
 * VM's own data centre are not. The class is not thread-safe.
 */
public final class LinkHealth {
  /** Time over which pauses are counted; a link is avoided at most this long after the last. */
  private static final long WINDOW_NANOS = 3_000_000_000L;

  /** Pauses in the window that mark a link as degraded; an engine may have caused a single one. */
  private static final int MIN_PAUSES = 2;

  /** Added cost of a path that starts behind a degraded link; about the time of a whole stream. */
  private static final double PENALTY_MILLIS = 3_000;

  private final Map<String, Deque<Long>> pauseTimes = new HashMap<>();

  /**
   * Records that an answer paused too long while no engine of its path was at fault.
   *
   * @param dataCentre data centre of the first engine of the path
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void recordPause(String dataCentre, long now) {
    Deque<Long> times = pauseTimes.computeIfAbsent(dataCentre, key -> new ArrayDeque<>());
    times.addLast(now);
    if (times.size() > MIN_PAUSES) {
      times.removeFirst();
    }
  }

  /**
   * Returns the added cost of a path that starts in a data centre, in milliseconds; 0 unless the
   * link is degraded.
   *
   * @param dataCentre data centre of the first engine of the path
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public double penaltyMillis(String dataCentre, long now) {
    Deque<Long> times = pauseTimes.get(dataCentre);
    boolean degraded =
        times != null && times.size() >= MIN_PAUSES && now - times.getFirst() < WINDOW_NANOS;
    return degraded ? PENALTY_MILLIS : 0;
  }
}
