package org.clementinesail.core.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sums up the loads of all VMs, on the control VM that leads. Not thread-safe. */
public final class LoadMerge {
  /** VMs with load report at least every second: two reports may be lost. */
  private static final long VALID_NANOS = 3_000_000_000L;

  /**
   * VMs that got no summary for a second report to all control VMs within the next one. Until they
   * have done so, a sum would be too small, which is worse than none.
   */
  private static final long SETTLING_NANOS = 2_000_000_000L;

  private record Received(LoadReport report, long at) {}

  private final long startedAt;
  private final Map<String, Received> reports = new HashMap<>();
  private boolean emptySent = true;

  /**
   * Creates a sum without reports.
   *
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public LoadMerge(long now) {
    startedAt = now;
  }

  /**
   * Replaces the last report of a VM.
   *
   * @param vm name of the VM
   * @param report its report
   * @param now current time in nanoseconds of this VM's monotonic clock
   * @return the values that are out of range, which do not count
   */
  public List<LoadBounds.Rejected> record(String vm, LoadReport report, long now) {
    LoadBounds bounds = new LoadBounds();
    LoadCounts valid = bounds.check(report.counts());
    reports.put(vm, new Received(new LoadReport(report.sequence(), valid), now));
    return bounds.rejected();
  }

  /**
   * Returns whether a summary has to be sent now: while there is load, and once after it has ended.
   *
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public boolean isDue(long now) {
    reports.values().removeIf(received -> now - received.at > VALID_NANOS);
    if (now - startedAt < SETTLING_NANOS) {
      return false;
    }
    boolean empty = reports.values().stream().allMatch(r -> r.report.counts().isEmpty());
    boolean due = !empty || !emptySent;
    emptySent = empty;
    return due;
  }

  /** Returns the sum of all reports that {@link #isDue} has found valid. */
  public LoadCounts sum() {
    Map<Integer, Integer> inProgress = new HashMap<>();
    Map<FleetLoad.Waiting, Integer> waiting = new HashMap<>();
    Map<FleetLoad.Demand, Double> demand = new HashMap<>();
    for (Received received : reports.values()) {
      LoadCounts counts = received.report.counts();
      counts.inProgress().forEach((target, n) -> add(inProgress, target, n));
      counts.waiting().forEach((key, n) -> add(waiting, key, n));
      counts.demand().forEach((key, rate) -> demand.merge(key, rate, Double::sum));
    }
    return new LoadCounts(inProgress, waiting, demand);
  }

  private static <K> void add(Map<K, Integer> sums, K key, int count) {
    if (count > 0) {
      sums.merge(key, count, (a, b) -> Math.min(LoadBounds.MAX_REQUESTS, a + b));
    }
  }

  /** Returns how many VMs are included. */
  public int reportingVms() {
    return reports.size();
  }

  /**
   * Returns the number of a VM's report that is included, or 0 if none is.
   *
   * @param vm name of the VM
   */
  public long includedSequence(String vm) {
    Received received = reports.get(vm);
    return received == null ? 0 : received.report.sequence();
  }
}
