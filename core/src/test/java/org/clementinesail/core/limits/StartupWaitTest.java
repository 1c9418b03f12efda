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
      {1_000, 20_000, 0, true},
      {1_000, 20_000, 1_499, true},
      {1_000, 20_000, 1_500, false},
      {1_000, 900, 299, true},
      {1_000, 900, 300, false},
      {1_000, -1, 1_499, true},
      {1_000, -1, 1_500, false},
      {899, 20_000, 0, false},
      {900, 20_000, 0, true},
      {5_900, 20_000, 99, true},
      {5_900, 20_000, 100, false},
      {60_000, 20_000, 0, false},
    };
  }

  /** A short part of the caller's patience, and only soon after the start. */
  @Test(dataProvider = "cases")
  public void waitsShortlyAfterTheStart(long at, long patience, long age, boolean waits) {
    long receivedAt = START + millis(at);
    assertEquals(wait.mayWait(receivedAt + millis(age), receivedAt, patience), waits);
  }

  /**
   * A loss of all VMs: ports open at once, the desired state comes after 2.4 s. Callers come with
   * their last retry, evenly. Those that wait are served, and nobody waits in vain.
   */
  @Test
  public void callersOfTheOutageAreServed() {
    int served = 0;
    for (long at = 0; at < 2_400; at += 10) {
      boolean waits = wait.mayWait(START + millis(at), START + millis(at), 20_000);
      boolean waitsOn = wait.mayWait(START + millis(2_399), START + millis(at), 20_000);
      assertEquals(waitsOn, waits, "at " + at);
      served += waitsOn ? 1 : 0;
    }
    assertEquals(served, 150);
  }
}
