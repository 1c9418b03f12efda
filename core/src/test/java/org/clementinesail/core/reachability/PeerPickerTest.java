package org.clementinesail.core.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which VM gets the requests of a VM without links to targets. */
public final class PeerPickerTest {
  private static final PeerVm NEAR = new PeerVm("near", "h:1", "a");
  private static final PeerVm NEAR_TOO = new PeerVm("near-too", "h:2", "a");
  private static final PeerVm FAR = new PeerVm("far", "h:3", "b");

  private PeerPicker picker = new PeerPicker("a", new Random(1));

  /** Starts each test with two VMs in the own data centre and one in another. */
  @BeforeMethod
  public void start() {
    picker = new PeerPicker("a", new Random(1));
    picker.peers(List.of(NEAR, NEAR_TOO, FAR));
  }

  /** Requests are spread over VMs, those of the own data centre first. */
  @Test
  public void requestsAreSpread() {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 30; i++) {
      String name = picker.pick(Set.of(), 0).orElseThrow().name();
      picker.recordBegin(name);
      counts.merge(name, 1, Integer::sum);
    }
    assertTrue(counts.get("near") >= 10 && counts.get("near-too") >= 10, counts.toString());
    assertTrue(counts.get("far") >= 7, counts.toString());
  }

  /** A VM that failed is left alone for a second, and one that was tried is not tried again. */
  @Test
  public void failedVmIsAvoided() {
    picker.recordFailure("near", 0);
    assertEquals(picker.pick(Set.of(NEAR_TOO.targetId()), 1).orElseThrow(), FAR);
    assertTrue(picker.pick(Set.of(NEAR_TOO.targetId(), FAR.targetId()), 1).isEmpty());
    long later = TimeUnit.SECONDS.toNanos(1);
    Set<String> others = Set.of(NEAR_TOO.targetId(), FAR.targetId());
    assertEquals(picker.pick(others, later).orElseThrow(), NEAR);
  }

  /** A VM that failed just now, or is not listed any more, gets no request once more. */
  @Test
  public void failedOrUnlistedVmIsNotAvailable() {
    picker.recordFailure("near", 0);
    assertFalse(picker.isAvailable(NEAR, 1));
    assertTrue(picker.isAvailable(NEAR, TimeUnit.SECONDS.toNanos(1)));
    picker.peers(List.of(FAR));
    assertFalse(picker.isAvailable(NEAR_TOO, 1));
  }

  /** A VM that ended its requests counts as free again. */
  @Test
  public void endedRequestsDoNotCount() {
    for (int i = 0; i < 5; i++) {
      picker.recordBegin("near");
      picker.recordBegin("near-too");
    }
    assertEquals(picker.pick(Set.of(), 0).orElseThrow(), FAR);
    for (int i = 0; i < 5; i++) {
      picker.recordEnd("near");
    }
    assertEquals(picker.pick(Set.of(), 0).orElseThrow(), NEAR);
  }
}
