package org.clementinesail.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which engines are asked for a report now, so that the questions spread evenly.
 *
 * <p>Answers the load on a VM that has just begun to lead on a fraction of a core: all engines are
 * due at once, and answers that it is too busy to read would look like silence. The class is not
 * thread-safe.
 */
public final class ReportPollScheduler {
  /** How often an engine that holds layers is asked. */
  private static final long SETTLED_INTERVAL_NANOS = 1_000_000_000L;

  /** How often an engine that holds none, or works on an order, is asked. */
  private static final long UNSETTLED_INTERVAL_NANOS = 400_000_000L;

  /** Shortest time in which all engines are asked once; a part of the usual interval. */
  private static final long MIN_ROUND_NANOS = 700_000_000L;

  private final long tickNanos;
  private final Map<String, Long> polledAt = new HashMap<>();

  /**
   * Creates a pacing without history.
   *
   * @param tickNanos time between two calls of {@link #selectDue}
   */
  public ReportPollScheduler(long tickNanos) {
    this.tickNanos = tickNanos;
  }

  /**
   * Returns the engines to ask now, those first that were not asked for longest.
   *
   * @param engines engines that take work
   * @param now present time in nanoseconds
   */
  public List<Fleet.Member> selectDue(List<Fleet.Member> engines, long now) {
    Set<String> ids =
        engines.stream().map(member -> member.statement().id()).collect(Collectors.toSet());
    polledAt.keySet().retainAll(ids);
    List<Fleet.Member> due = new ArrayList<>();
    for (Fleet.Member engine : engines) {
      Long lastPolled = polledAt.get(engine.statement().id());
      if (lastPolled == null || now - lastPolled >= interval(engine)) {
        due.add(engine);
      }
    }
    due.sort(Comparator.comparingLong(this::lastPolledAt));
    List<Fleet.Member> polled = due.subList(0, Math.min(due.size(), maxPolls(engines.size())));
    polled.forEach(engine -> polledAt.put(engine.statement().id(), now));
    return polled;
  }

  /**
   * Forgets when an engine was asked, so that it is due at once.
   *
   * @param id identity of the target
   */
  public void makeDue(String id) {
    polledAt.remove(id);
  }

  private long lastPolledAt(Fleet.Member engine) {
    return polledAt.getOrDefault(engine.statement().id(), Long.MIN_VALUE);
  }

  private int maxPolls(int engines) {
    return (int) Math.ceil((double) engines * tickNanos / MIN_ROUND_NANOS);
  }

  private static long interval(Fleet.Member engine) {
    EngineReport report = engine.report();
    boolean settled = report != null && report.layers() != null && !report.busy();
    return settled ? SETTLED_INTERVAL_NANOS : UNSETTLED_INTERVAL_NANOS;
  }
}
