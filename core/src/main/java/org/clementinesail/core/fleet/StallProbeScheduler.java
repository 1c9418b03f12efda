package org.clementinesail.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which engines an entry VM probes when a response has stalled on their path.
 *
 * <p>It is meant for overload, in which many responses stall although no engine is at fault: all
 * entry VMs together probe at most half as often as the leading control VM polls, and an engine
 * that was probed in vain is probed less and less often. The first stall after a quiet time is
 * probed at once, on the whole path. The class is not thread-safe.
 */
public final class StallProbeScheduler {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Probes per second and engine, by all entry VMs together; engines are polled once a second. */
  private static final double PROBES_PER_ENGINE_SECOND = 0.5;

  /** Time after the first probe of an engine until the next; doubles with each probe. */
  private static final long FIRST_INTERVAL_NANOS = 100_000_000L;

  /** Longest time between two probes of an engine; that of the regular polls. */
  private static final long MAX_INTERVAL_NANOS = 1_000_000_000L;

  /** An engine that was not probed for this time is probed as if for the first time. */
  private static final long FORGET_NANOS = 3_000_000_000L;

  private record Probe(long at, long interval) {}

  private final Map<String, Probe> lastProbes = new HashMap<>();
  private double permits = Double.MAX_VALUE;
  private long refilledAt;

  /**
   * Returns the engines to probe now and records them as probed: the first of the path before the
   * others, as it reports which engines it waits for, then the least recently probed.
   *
   * @param path identities of the engines of the path, in order
   * @param engines number of targets that the VM knows, nearly all of them engines
   * @param vms number of VMs that carry traffic
   * @param now current time in nanoseconds of the monotonic clock
   */
  public List<String> select(List<String> path, int engines, int vms, long now) {
    refill(path.size(), engines, vms, now);
    lastProbes.values().removeIf(probe -> now - probe.at() >= FORGET_NANOS);
    List<String> due = new ArrayList<>(path);
    due.removeIf(
        id -> {
          Probe last = lastProbes.get(id);
          return last != null && now - last.at() < last.interval();
        });
    String first = path.isEmpty() ? "" : path.get(0);
    due.sort(
        Comparator.comparing((String id) -> !id.equals(first)).thenComparingLong(this::probedAt));
    List<String> selected = due.subList(0, (int) Math.min(due.size(), permits));
    permits -= selected.size();
    for (String id : selected) {
      Probe last = lastProbes.get(id);
      long interval =
          last == null ? FIRST_INTERVAL_NANOS : Math.min(MAX_INTERVAL_NANOS, last.interval() * 2);
      lastProbes.put(id, new Probe(now, interval));
    }
    return selected;
  }

  private long probedAt(String id) {
    Probe last = lastProbes.get(id);
    return last == null ? Long.MIN_VALUE : last.at();
  }

  private void refill(int pathLength, int engines, int vms, long now) {
    double perSecond = PROBES_PER_ENGINE_SECOND * engines / Math.max(1, vms);
    double added = Math.max(0, now - refilledAt) / NANOS_PER_SECOND * perSecond;
    permits = Math.min(Math.max(pathLength, perSecond), permits + added);
    refilledAt = now;
  }
}
