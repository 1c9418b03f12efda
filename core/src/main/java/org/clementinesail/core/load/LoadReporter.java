package org.clementinesail.core.load;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides when an entry VM has to report its load, and turns summaries into its view. Not
 * thread-safe.
 *
 * <p>A VM without load says so once and is then silent: a site without requests sends no reports.
 */
public final class LoadReporter {
  private static final long MAX_SILENCE_NANOS = 1_000_000_000L;

  /** Time without a summary after which the leader may be another one: four are missing. */
  private static final long LEADER_VALID_NANOS = 1_000_000_000L;

  /** Time constant of the moving averages in nanoseconds: four summaries. */
  private static final double AVERAGING_NANOS = 1e9;

  /** Change of the demand that is reported at once, as a share; smaller ones wait for a second. */
  private static final double DEMAND_CHANGE = 0.1;

  /** Reports kept to know what a summary includes: four seconds. */
  private static final int MAX_SENT = 16;

  private final Deque<LoadReport> sent = new ArrayDeque<>();
  private LoadCounts last = LoadCounts.NONE;
  private long sequence;
  private long reportedAt;
  private String leader = "";
  private long summaryAt;
  private String lastLeader = "";
  private Map<String, Double> means = Map.of();

  /**
   * Returns the control VM that sent summaries within the last second, or empty if none did.
   *
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public Optional<String> leader(long now) {
    boolean known = !leader.isEmpty() && now - summaryAt <= LEADER_VALID_NANOS;
    return known ? Optional.of(leader) : Optional.empty();
  }

  /**
   * Returns the report to send now, or empty if nothing has to be sent. Must be called at most four
   * times a second.
   *
   * @param counts present load of this VM
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public Optional<LoadReport> next(LoadCounts counts, long now) {
    String receiver = leader(now).orElse("");
    boolean changed = differs(counts) || (!counts.isEmpty() && !receiver.equals(lastLeader));
    boolean silent = sequence == 0 || now - reportedAt >= MAX_SILENCE_NANOS;
    // Without a leader, which may be of an older build, reports go to all control VMs.
    boolean soon = changed && (silent || !receiver.isEmpty());
    if (!soon && (counts.isEmpty() || !silent)) {
      return Optional.empty();
    }
    sequence++;
    reportedAt = now;
    last = counts;
    lastLeader = receiver;
    LoadReport report = new LoadReport(sequence, counts);
    sent.addLast(report);
    if (sent.size() > MAX_SENT) {
      sent.removeFirst();
    }
    return Optional.of(report);
  }

  private boolean differs(LoadCounts counts) {
    if (counts.isEmpty() != last.isEmpty()
        || !counts.inProgress().equals(last.inProgress())
        || !counts.waiting().equals(last.waiting())
        || !counts.demand().keySet().equals(last.demand().keySet())) {
      return true;
    }
    return counts.demand().entrySet().stream()
        .anyMatch(
            entry -> {
              double before = last.demand().getOrDefault(entry.getKey(), 0.0);
              return Math.abs(entry.getValue() - before) > DEMAND_CHANGE * before;
            });
  }

  /**
   * A view of the load of all VMs.
   *
   * @param load the view
   * @param rejected values of the summary that are out of range and do not count
   */
  public record View(FleetLoad load, List<LoadBounds.Rejected> rejected) {}

  /**
   * Records a summary and returns the view that it gives.
   *
   * @param from control VM that sent it
   * @param summary the summary
   * @param targetIds ids of the targets that this VM knows; others are left out
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public View receive(String from, LoadSummary summary, Collection<String> targetIds, long now) {
    double weight = 1 - Math.exp((summaryAt - now) / AVERAGING_NANOS);
    Map<String, Double> before = now - summaryAt > LEADER_VALID_NANOS ? null : means;
    leader = from;
    summaryAt = now;
    LoadBounds bounds = new LoadBounds();
    LoadCounts counts = bounds.check(summary.counts());
    Map<Integer, Integer> own =
        sent.stream()
            .filter(report -> report.sequence() == summary.includedSequence())
            .findFirst()
            .map(report -> report.counts().inProgress())
            .orElse(Map.of());
    Map<String, Integer> inProgress = new HashMap<>();
    Map<String, Integer> others = new HashMap<>();
    Map<String, Double> nextMeans = new HashMap<>();
    for (String id : targetIds) {
      int hash = LoadCounts.targetHash(id);
      int all = counts.inProgress().getOrDefault(hash, 0);
      int ofOthers = Math.max(0, all - own.getOrDefault(hash, 0));
      double earlier = before == null ? ofOthers : before.getOrDefault(id, 0.0);
      double mean = earlier + weight * (ofOthers - earlier);
      if (mean > 0) {
        nextMeans.put(id, mean);
      }
      if (all > 0) {
        inProgress.put(id, all);
        others.put(id, ofOthers);
      }
    }
    means = nextMeans;
    int vms = Math.max(0, summary.reportingVms());
    FleetLoad load =
        new FleetLoad(now, vms, inProgress, counts.waiting(), counts.demand())
            .others(others, means);
    return new View(load, bounds.rejected());
  }
}
