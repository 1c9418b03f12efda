package org.clementinesail.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when engines are polled for reports. */
public final class ReportPollSchedulerTest {
  private static final long TICK = TimeUnit.MILLISECONDS.toNanos(250);
  private static final LayerRange LAYERS = new LayerRange(0, 8);

  private static Fleet.Member engine(int number, boolean settled) {
    String id = "e" + number;
    TargetStatement statement =
        new TargetStatement(id, "lm", id + ":1", "a", 8, Phase.READY, "l4", LAYERS, 1, 1);
    EngineReport report =
        new EngineReport(id, true, 0, 0, 0, 1, 1, false, 1, settled ? LAYERS : null, 1);
    return new Fleet.Member(statement, 1, report, 0, 0);
  }

  private static List<Fleet.Member> engines(int count, boolean settled) {
    return IntStream.range(0, count).mapToObj(i -> engine(i, settled)).toList();
  }

  /** Numbers of engines of small, usual and large sites. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1}, {3}, {33}, {86}, {1_700}};
  }

  /**
   * A new leader polls at most 2 of 5 engines per tick, and each engine once in the first second.
   */
  @Test(dataProvider = "sizes")
  public void newLeaderSpreadsPolls(int count) {
    ReportPollScheduler scheduler = new ReportPollScheduler(TICK);
    List<Fleet.Member> engines = engines(count, true);
    Map<String, Integer> polls = new HashMap<>();
    for (int tick = 0; tick < 4; tick++) {
      List<Fleet.Member> due = scheduler.selectDue(engines, 1 + tick * TICK);
      assertTrue(due.size() <= Math.ceil(count * 0.4), due.size() + " engines polled at once");
      due.forEach(engine -> polls.merge(engine.statement().id(), 1, Integer::sum));
    }
    assertEquals(polls.size(), count);
    assertTrue(polls.values().stream().allMatch(times -> times == 1), polls.toString());
  }

  /**
   * Engines that hold layers are polled once per second, others every 400 ms, which ticks of 250 ms
   * round up to 500 ms.
   */
  @Test
  public void pollsUnsettledEnginesMoreOften() {
    ReportPollScheduler scheduler = new ReportPollScheduler(TICK);
    List<Fleet.Member> engines = List.of(engine(1, true), engine(2, false));
    Map<String, Integer> polls = new HashMap<>();
    for (int tick = 0; tick < 40; tick++) {
      scheduler
          .selectDue(engines, 1 + tick * TICK)
          .forEach(engine -> polls.merge(engine.statement().id(), 1, Integer::sum));
    }
    assertEquals(polls.get("e1"), Integer.valueOf(10));
    assertEquals(polls.get("e2"), Integer.valueOf(20));
  }
}
