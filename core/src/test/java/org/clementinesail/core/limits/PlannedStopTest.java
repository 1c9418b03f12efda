package org.clementinesail.core.limits;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests which requests a VM begins while it stops. */
public final class PlannedStopTest {
  private static final long LATE_FROM = 1_000;
  private static final long ENDS_AT = LATE_FROM + 100;

  private final PlannedStop stop = new PlannedStop(LATE_FROM, ENDS_AT);

  /** Callers that cannot have heard of the stop yet are served. */
  @Test
  public void earlyRequestsBeginWhateverTheirDeadline() {
    assertTrue(stop.mayBegin(LATE_FROM - 1, ENDS_AT + 1_000));
  }

  /** A late request that may still be in progress at the end would be cut off. */
  @Test
  public void lateRequestsBeginOnlyIfTheyEndInTime() {
    assertTrue(stop.mayBegin(LATE_FROM, ENDS_AT));
    assertFalse(stop.mayBegin(LATE_FROM, ENDS_AT + 1));
    assertFalse(stop.mayBegin(ENDS_AT + 1, ENDS_AT + 2));
  }
}
