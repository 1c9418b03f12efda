package org.clementinesail.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests which targets are taken for full, and for how long. */
public class FullTargetsTest {
  private final FullTargets full = new FullTargets();

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against attempts at targets that refuse all, and against targets that stay full. */
  @Test
  public void refusalCountsUntilARequestEndsOrTimePasses() {
    full.recordRefused("a", 0);
    full.recordRefused("b", 0);
    assertEquals(full.among(List.of("a", "b", "c"), millis(1)), Set.of("a", "b"));
    full.recordEnded("a");
    assertEquals(full.among(List.of("a", "b", "c"), millis(1)), Set.of("b"));
    assertEquals(full.among(List.of("a", "b", "c"), millis(251)), Set.of());
  }

  /** Guards against a service without attempts, and one that is probed all the time. */
  @Test
  public void fullServiceIsProbedNowAndThen() {
    FullTargets targets = new FullTargets();
    targets.recordRefused("a", 0);
    assertTrue(targets.mayProbe("s", millis(1)));
    targets.recordSent("s", "a", millis(1));
    assertFalse(targets.mayProbe("s", millis(50)));
    assertTrue(targets.mayProbe("s", millis(51)));
    assertTrue(targets.mayProbe("other", millis(50)));
    targets.recordSent("other", "b", millis(50));
    assertTrue(targets.mayProbe("other", millis(51)), "b is not full");
  }
}
