package org.clementinesail.core.limits;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which requests wait, and how long, on a VM that has just started. */
public final class StartupWaitTest {
  private static final long STARTED_AT_NANOS = 5_000_000_000L;

  private final StartupWait wait = new StartupWait(STARTED_AT_NANOS);

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Milliseconds from start to arrival, caller timeout and age of the request; whether it waits.
   */
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

  /** A request waits for a third of its caller's timeout, at most 1.5 s, and only after a start. */
  @Test(dataProvider = "cases")
  public void waitsOnlySoonAfterStartAndWithinTimeout(
      long arrivalMillis, long timeoutMillis, long ageMillis, boolean expected) {
    long receivedAt = STARTED_AT_NANOS + millis(arrivalMillis);
    assertEquals(wait.mayWait(receivedAt + millis(ageMillis), receivedAt, timeoutMillis), expected);
  }

  /**
   * All VMs restart. Ports open at once, and the desired state arrives after 2.4 s. Callers send
   * their last retries at an even rate: each request that starts to wait is still waiting when the
   * desired state arrives, so it can be served.
   */
  @Test
  public void servesCallersThatRetryAfterLossOfAllVms() {
    int served = 0;
    for (long arrivalMillis = 0; arrivalMillis < 2_400; arrivalMillis += 10) {
      boolean waits =
          wait.mayWait(
              STARTED_AT_NANOS + millis(arrivalMillis),
              STARTED_AT_NANOS + millis(arrivalMillis),
              20_000);
      boolean waitsOn =
          wait.mayWait(
              STARTED_AT_NANOS + millis(2_399), STARTED_AT_NANOS + millis(arrivalMillis), 20_000);
      assertEquals(waitsOn, waits, "arrival in ms: " + arrivalMillis);
      served += waitsOn ? 1 : 0;
    }
    assertEquals(served, 150);
  }
}
