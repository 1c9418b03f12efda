package org.clementinesail.core.limits;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests which timer delays count as a lack of processor time. */
public class LagDetectorTest {
  private long now = TimeUnit.SECONDS.toNanos(7);

  private void tick(LagDetector lag, long gapMillis, int times) {
    for (int i = 0; i < times; i++) {
      now += TimeUnit.MILLISECONDS.toNanos(gapMillis);
      lag.tick(now);
    }
  }

  private static LagDetector detector() {
    return new LagDetector(TimeUnit.MILLISECONDS.toNanos(200), TimeUnit.SECONDS.toNanos(1));
  }

  /** Timers that fire in time, and one short pause, are no lag. */
  @Test
  public void shortPauseIsNoLag() {
    LagDetector lag = detector();
    tick(lag, 50, 100);
    assertFalse(lag.isLagging());
    tick(lag, 900, 1);
    assertFalse(lag.isLagging());
  }

  /** A VM that runs a fifth of the time lags; it has recovered 4 s after it runs again. */
  @Test
  public void slowVmLagsUntilItHasRecovered() {
    LagDetector lag = detector();
    tick(lag, 1_000, 4);
    assertTrue(lag.isLagging());
    tick(lag, 50, 80);
    assertFalse(lag.isLagging());
  }
}
