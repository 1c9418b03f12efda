package org.clementinesail.core.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Failures of the exchange of loads between the VMs and the leader. */
public final class LoadExchangeTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long START = 100 * SECOND;
  private static final FleetLoad.Demand DEMAND = new FleetLoad.Demand("s", "a");

  private static LoadCounts counts(int inProgress) {
    return new LoadCounts(
        Map.of(LoadCounts.targetHash("t"), inProgress), Map.of(), Map.of(DEMAND, 5.0));
  }

  private static FleetLoad view(LoadReporter reporter, LoadMerge merge, String vm, long now) {
    LoadSummary summary =
        new LoadSummary(merge.includedSequence(vm), merge.reportingVms(), merge.sum());
    return reporter.receive("leader", summary, List.of("t", "other"), now).load();
  }

  /** A VM must not count its own requests twice: as its own, and as part of the sum. */
  @Test
  public void ownRequestsAreNotThoseOfOthers() {
    LoadReporter reporter = new LoadReporter();
    LoadMerge merge = new LoadMerge(START - 10 * SECOND);
    merge.record("vm1", reporter.next(counts(3), START).orElseThrow(), START);
    merge.record("vm2", new LoadReport(9, counts(4)), START);
    assertTrue(reporter.next(counts(5), START + SECOND).isPresent());
    FleetLoad load = view(reporter, merge, "vm1", START + SECOND);
    assertEquals(load.inProgress("t"), 7);
    assertEquals(load.othersInProgress("t"), 4);
    assertEquals(load.inProgress("other"), 0);
    assertEquals(load.demandPerSecond("s", "a"), 10.0);
    assertEquals(load.reportingVms(), 2);
  }

  /** Without a leader, each change would go to all control VMs four times a second. */
  @Test
  public void withoutLeaderReportsAreSentOnceASecond() {
    LoadReporter reporter = new LoadReporter();
    assertTrue(reporter.next(counts(1), START).isPresent());
    assertFalse(reporter.next(counts(2), START + SECOND / 4).isPresent());
    assertTrue(reporter.next(counts(2), START + SECOND).isPresent());
    assertTrue(reporter.leader(START + SECOND).isEmpty());
  }

  /** An older leader sends no summary: the view is never fresh, and today's rules apply. */
  @Test
  public void olderLeaderGivesNoFreshView() {
    assertFalse(FleetLoad.NONE.isFresh(0));
    assertFalse(FleetLoad.NONE.isFresh(START));
  }

  /** A summary from before an outage of the leader must not decide, nor name the leader. */
  @Test
  public void staleSummaryDoesNotCount() {
    LoadReporter reporter = new LoadReporter();
    LoadMerge merge = new LoadMerge(START - 10 * SECOND);
    merge.record("vm2", new LoadReport(1, counts(4)), START);
    FleetLoad load = view(reporter, merge, "vm1", START);
    assertTrue(load.isFresh(START + 2 * SECOND));
    assertFalse(load.isFresh(START + 2 * SECOND + 1));
    assertTrue(reporter.leader(START + SECOND).isPresent());
    assertTrue(reporter.leader(START + SECOND + 1).isEmpty());
  }

  /** A new leader that sums up before all VMs have found it would report free targets. */
  @Test
  public void newLeaderWaitsForReports() {
    LoadMerge merge = new LoadMerge(START);
    merge.record("vm1", new LoadReport(1, counts(1)), START + SECOND);
    assertFalse(merge.isDue(START + 2 * SECOND - 1));
    assertTrue(merge.isDue(START + 2 * SECOND));
  }

  /** A VM that has ended must not occupy targets for ever. */
  @Test
  public void oldReportsAreDropped() {
    LoadMerge merge = new LoadMerge(START - 10 * SECOND);
    merge.record("vm1", new LoadReport(1, counts(1)), START);
    assertTrue(merge.isDue(START + 3 * SECOND));
    assertTrue(merge.isDue(START + 3 * SECOND + 1));
    assertEquals(merge.sum(), LoadCounts.NONE);
    assertFalse(merge.isDue(START + 4 * SECOND));
  }

  /** An idle site must cost nothing: one empty report and summary, then none. */
  @Test
  public void idleVmsAreSilent() {
    LoadReporter reporter = new LoadReporter();
    assertFalse(reporter.next(LoadCounts.NONE, START).isPresent());
    assertTrue(reporter.next(counts(1), START + SECOND).isPresent());
    assertTrue(reporter.next(LoadCounts.NONE, START + 2 * SECOND).isPresent());
    assertFalse(reporter.next(LoadCounts.NONE, START + 9 * SECOND).isPresent());
    assertFalse(new LoadMerge(START).isDue(START + 9 * SECOND));
  }

  /** Values of a faulty build must not make targets seem empty or full. */
  @Test
  public void valuesOutOfRangeAreLeftOutAndNamed() {
    Map<FleetLoad.Waiting, Integer> waiting = Map.of(new FleetLoad.Waiting("s", -1), 2);
    Map<FleetLoad.Demand, Double> demand = Map.of(DEMAND, Double.NaN);
    LoadMerge merge = new LoadMerge(START - 10 * SECOND);
    LoadCounts invalid = new LoadCounts(Map.of(1, -7), waiting, demand);
    assertEquals(
        merge.record("vm1", new LoadReport(1, invalid), START),
        List.of(
            new LoadBounds.Rejected("in_progress", "-7"),
            new LoadBounds.Rejected("rank", "-1"),
            new LoadBounds.Rejected("demand", "NaN")));
    assertEquals(merge.sum(), LoadCounts.NONE);
  }
}
