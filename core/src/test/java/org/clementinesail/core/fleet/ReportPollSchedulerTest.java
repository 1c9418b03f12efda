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

/** When engines are asked for reports. */
public final class ReportPollSchedulerTest {
  private static final long TURN = TimeUnit.MILLISECONDS.toNanos(250);
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

  /** Numbers of engines of today's and of grown sites. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1}, {3}, {33}, {86}, {1_700}};
  }

  /** Load: a VM begins to lead. No turn asks more than 2 of 5 engines, and none is left out. */
  @Test(dataProvider = "sizes")
  public void newLeaderAsksInTurns(int count) {
    ReportPollScheduler pacing = new ReportPollScheduler(TURN);
    List<Fleet.Member> engines = engines(count, true);
    Map<String, Integer> asked = new HashMap<>();
    for (int turn = 0; turn < 4; turn++) {
      List<Fleet.Member> due = pacing.selectDue(engines, 1 + turn * TURN);
      assertTrue(due.size() <= Math.ceil(count * 0.4), due.size() + " asked at once");
      due.forEach(engine -> asked.merge(engine.statement().id(), 1, Integer::sum));
    }
    assertEquals(asked.size(), count);
    assertTrue(asked.values().stream().allMatch(times -> times == 1), asked.toString());
  }

  /** Engines that hold layers are asked about once a second, others more often. */
  @Test
  public void unsettledEnginesAreAskedMoreOften() {
    ReportPollScheduler pacing = new ReportPollScheduler(TURN);
    List<Fleet.Member> engines = List.of(engine(1, true), engine(2, false));
    Map<String, Integer> asked = new HashMap<>();
    for (int turn = 0; turn < 40; turn++) {
      pacing
          .selectDue(engines, 1 + turn * TURN)
          .forEach(engine -> asked.merge(engine.statement().id(), 1, Integer::sum));
    }
    assertEquals(asked.get("e1"), Integer.valueOf(10));
    assertEquals(asked.get("e2"), Integer.valueOf(20));
  }
}
