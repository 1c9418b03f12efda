package org.clementinesail.core.limits;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How long requests wait on a VM that has just started. */
public final class StartupWaitTest {
  private static final long START = 5_000_000_000L;

  private final StartupWait wait = new StartupWait(START);

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Arrival after the start, patience, age in milliseconds; whether the request waits on. */
  @DataProvider
  public Object[][] cases() {
    return new Object[][] {
      {100, 20_000, 0, true},
      {100, 20_000, 1_499, true},
      {100, 20_000, 1_500, false},
      {100, 900, 299, true},
      {100, 900, 300, false},
      {100, -1, 1_499, true},
      {100, -1, 1_500, false},
      {5_900, 20_000, 99, true},
      {5_900, 20_000, 100, false},
      {60_000, 20_000, 0, false},
    };
  }

  /** A short part of the caller's patience, and only soon after the start. */
  @Test(dataProvider = "cases")
  public void waitsShortlyAfterTheStart(long at, long patience, long age, boolean waits) {
    long receivedAt = START + millis(at);
    assertEquals(wait.allows(receivedAt + millis(age), receivedAt, patience), waits);
  }

  /**
   * A loss of all VMs: ports open 0.6 s after the start and the desired state comes at 2.2 s. Of
   * the callers that come in between with their last retry, all of the last 1.5 s are served; with
   * a refusal at once none would be.
   */
  @Test
  public void callersOfTheOutageAreServed() {
    int served = 0;
    for (long at = 600; at < 2_200; at += 10) {
      served += wait.allows(START + millis(2_200), START + millis(at), 20_000) ? 1 : 0;
    }
    assertEquals(served, 149);
  }
}
