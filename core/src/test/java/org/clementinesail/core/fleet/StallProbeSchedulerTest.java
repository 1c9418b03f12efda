package org.clementinesail.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests how often engines are probed while responses stall. */
public class StallProbeSchedulerTest {
  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static List<String> path(int length, int offset, int engines) {
    List<String> path = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      path.add("e" + (offset + i) % engines);
    }
    return path;
  }

  private static long probesOfStalledSite(int vms, int engines, int pathLength, int seconds) {
    long probes = 0;
    for (int vm = 0; vm < vms; vm++) {
      StallProbeScheduler scheduler = new StallProbeScheduler();
      for (long now = 0; now < TimeUnit.SECONDS.toNanos(seconds); now += CHECK_INTERVAL_NANOS) {
        for (int stream = 0; stream < 5; stream++) {
          List<String> path = path(pathLength, 7 * stream, engines);
          probes += scheduler.select(path, engines, vms, now).size();
        }
      }
    }
    return probes;
  }

  /**
   * With all responses stalled for 20 s, which no engine is at fault for, all VMs together probe at
   * most as often as the engines are polled, so that there are at most twice the regular polls.
   */
  @Test
  public void overloadCausesNoStorm() {
    assertTrue(probesOfStalledSite(8, 38, 12, 20) <= 20 * 38);
    assertTrue(probesOfStalledSite(70, 99, 14, 20) <= 20 * 99);
    assertTrue(probesOfStalledSite(91, 190, 12, 20) <= 20 * 190);
  }

  /** The first stall is probed on the whole path at once. */
  @Test
  public void firstStallProbesWholePath() {
    List<String> path = path(12, 0, 190);
    assertEquals(new StallProbeScheduler().select(path, 190, 91, 5).size(), 12);
  }

  /** The first engine is probed before others when few probes are left. */
  @Test
  public void firstEngineOfThePathGoesFirst() {
    StallProbeScheduler scheduler = new StallProbeScheduler();
    scheduler.select(path(12, 0, 38), 38, 8, 0);
    List<String> later = path(12, 12, 38);
    long oneProbeLater = TimeUnit.MILLISECONDS.toNanos(450);
    assertEquals(scheduler.select(later, 38, 8, oneProbeLater), List.of("e12"));
  }
}
