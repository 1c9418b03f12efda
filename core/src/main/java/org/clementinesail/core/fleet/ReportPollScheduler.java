package org.clementinesail.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which engines to poll for a report, and spreads the polls evenly over time.
 *
 * <p>On a VM that has just become leader, all engines are due at once. With a fraction of a core,
 * the VM would be too busy to read all answers in time, and engines would seem unreachable. The
 * class is not thread-safe.
 */
public final class ReportPollScheduler {
  /** Time between polls of an engine that holds layers and has no order in progress. */
  private static final long SETTLED_INTERVAL_NANOS = 1_000_000_000L;

  /** Time between polls of an engine that holds no layers or has an order in progress. */
  private static final long UNSETTLED_INTERVAL_NANOS = 400_000_000L;

  /**
   * Shortest time in which every engine is polled once; less than the settled interval, so that the
   * limit on polls per tick does not delay regular polls.
   */
  private static final long MIN_ROUND_NANOS = 700_000_000L;

  private final long tickNanos;
  private final Map<String, Long> polledAt = new HashMap<>();

  /**
   * Creates a scheduler that has polled no engine yet.
   *
   * @param tickNanos time between two calls of {@link #selectDue}, in nanoseconds
   */
  public ReportPollScheduler(long tickNanos) {
    this.tickNanos = tickNanos;
  }

  /**
   * Returns the engines to poll now and records them as polled. If too many are due, those that
   * were polled least recently go first.
   *
   * @param engines engines that take work
   * @param now current time in nanoseconds of the monotonic clock
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
   * Makes an engine due at once, for example after an order.
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
