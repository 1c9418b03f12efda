package org.clementinesail.core.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a VM that serves requests for another one counts as frozen. */
public final class PeerLivenessTest {
  private static final PeerVm PEER = new PeerVm("peer", "h:1", "a");
  private static final long TICK_MS = 25;

  private PeerLiveness liveness = new PeerLiveness();
  private long now;
  private int asked;

  /** Starts each test with one request at the VM. */
  @BeforeMethod
  public void start() {
    liveness = new PeerLiveness();
    now = 1;
    asked = 0;
    liveness.tick(now);
    liveness.recordBegin(PEER);
  }

  private void pass(long millis) {
    for (long passed = 0; passed < millis; passed += TICK_MS) {
      now += TimeUnit.MILLISECONDS.toNanos(TICK_MS);
      asked += liveness.tick(now).size();
    }
  }

  /** A VM is asked while it is silent, and frozen if it does not answer within half a second. */
  @Test
  public void silentVmIsAskedThenFrozen() {
    pass(175);
    assertEquals(asked, 0);
    pass(25);
    assertEquals(asked, 1);
    pass(475);
    assertFalse(liveness.isFrozen(PEER));
    pass(25);
    assertTrue(liveness.isFrozen(PEER));
    assertEquals(liveness.frozen(), List.of(PEER));
    assertEquals(asked, 3);
  }

  /** A VM that answers each time is never frozen, however long its targets are silent. */
  @Test
  public void answeringVmIsNotFrozen() {
    for (int i = 0; i < 20; i++) {
      pass(200);
      liveness.recordHeard(PEER);
    }
    assertFalse(liveness.isFrozen(PEER));
    assertEquals(asked, 20);
  }

  /** A VM that sends answers all the time is not asked. */
  @Test
  public void busyVmIsNotAsked() {
    for (int i = 0; i < 50; i++) {
      pass(100);
      liveness.recordHeard(PEER);
    }
    assertEquals(asked, 0);
  }

  /** Time in which this VM stood still itself does not count. */
  @Test
  public void ownPauseDoesNotCount() {
    pass(300);
    now += TimeUnit.SECONDS.toNanos(10);
    liveness.tick(now);
    assertFalse(liveness.isFrozen(PEER));
  }

  /** A VM that answers after all is not frozen any more, and one without requests neither. */
  @Test
  public void freezeEndsWithASignOfLifeOrTheLastRequest() {
    pass(1_000);
    assertTrue(liveness.isFrozen(PEER));
    liveness.recordHeard(PEER);
    assertFalse(liveness.isFrozen(PEER));
    pass(1_000);
    liveness.recordBegin(PEER);
    liveness.recordEnd(PEER);
    assertTrue(liveness.isFrozen(PEER));
    liveness.recordEnd(PEER);
    assertFalse(liveness.isFrozen(PEER));
    assertFalse(liveness.isWatched(PEER));
  }
}
