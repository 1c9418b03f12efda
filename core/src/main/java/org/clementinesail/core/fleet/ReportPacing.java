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
public final class ReportPacing {
  /** How often an engine that holds layers is asked. */
  private static final long SETTLED_NANOS = 1_000_000_000L;

  /** How often an engine that holds none, or works on an order, is asked. */
  private static final long UNSETTLED_NANOS = 400_000_000L;

  /** Shortest time in which all engines are asked once; a part of the usual interval. */
  private static final long ROUND_NANOS = 700_000_000L;

  private final long turnNanos;
  private final Map<String, Long> askedAt = new HashMap<>();

  /**
   * Creates a pacing without history.
   *
   * @param turnNanos time between two calls of {@link #due}
   */
  public ReportPacing(long turnNanos) {
    this.turnNanos = turnNanos;
  }

  /**
   * Returns the engines to ask now, those first that were not asked for longest.
   *
   * @param engines engines that take work
   * @param now present time in nanoseconds
   */
  public List<Fleet.Member> due(List<Fleet.Member> engines, long now) {
    Set<String> ids =
        engines.stream().map(member -> member.statement().id()).collect(Collectors.toSet());
    askedAt.keySet().retainAll(ids);
    List<Fleet.Member> due = new ArrayList<>();
    for (Fleet.Member engine : engines) {
      Long last = askedAt.get(engine.statement().id());
      if (last == null || now - last >= interval(engine)) {
        due.add(engine);
      }
    }
    due.sort(Comparator.comparingLong(this::lastAsked));
    List<Fleet.Member> asked = due.subList(0, Math.min(due.size(), most(engines.size())));
    asked.forEach(engine -> askedAt.put(engine.statement().id(), now));
    return asked;
  }

  /**
   * Forgets when an engine was asked, so that it is due at once.
   *
   * @param id identity of the target
   */
  public void soon(String id) {
    askedAt.remove(id);
  }

  private long lastAsked(Fleet.Member engine) {
    return askedAt.getOrDefault(engine.statement().id(), Long.MIN_VALUE);
  }

  private int most(int engines) {
    return (int) Math.ceil((double) engines * turnNanos / ROUND_NANOS);
  }

  private static long interval(Fleet.Member engine) {
    EngineReport report = engine.report();
    boolean settled = report != null && report.layers() != null && !report.busy();
    return settled ? SETTLED_NANOS : UNSETTLED_NANOS;
  }
}
