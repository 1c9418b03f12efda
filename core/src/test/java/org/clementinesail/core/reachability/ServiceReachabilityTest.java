package org.clementinesail.core.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a VM takes itself for cut off from a service. */
public final class ServiceReachabilityTest {
  private ServiceReachability reachability = new ServiceReachability(new Random(1));
  private Fleet fleet = new Fleet(TimeUnit.HOURS.toNanos(1));

  /** Starts each test with ten targets that are taken for reachable. */
  @BeforeMethod
  public void start() {
    reachability = new ServiceReachability(new Random(1));
    fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
    for (int i = 0; i < 10; i++) {
      fleet.recordStatement(
          new TargetStatement("t" + i, "s", "h:" + i, "a", 8, Phase.READY, "", null, 1, 1), 0);
    }
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private List<TargetStatement> start(long millis) {
    return reachability.startCheck("s", fleet.ready("s", millis(millis)), millis(millis));
  }

  /** One target that accepts shows that the links work; the others have faults of their own. */
  @Test
  public void faultsOfTargetsAreNoCut() {
    int checked = start(0).size();
    assertEquals(checked, 3);
    assertFalse(reachability.recordCheck("s", 1, checked, millis(10)));
    assertFalse(reachability.isCutOff("s"));
  }

  /** A VM that no target accepts is cut off, from this service only. */
  @Test
  public void vmThatNoTargetAcceptsIsCutOff() {
    start(0);
    assertTrue(reachability.recordCheck("s", 0, 3, millis(500)));
    assertTrue(reachability.isCutOff("s"));
    assertFalse(reachability.isCutOff("other"));
    assertEquals(reachability.cutOff(), List.of("s"));
  }

  /** One accepted connection of three may be the luck of a bad link, and must not flap. */
  @Test
  public void vmIsCutOffUntilTwoTargetsAccept() {
    start(0);
    reachability.recordCheck("s", 0, 3, millis(500));
    assertEquals(start(1_000).size(), 3);
    assertFalse(reachability.recordCheck("s", 1, 3, millis(1_010)));
    assertEquals(start(1_500).size(), 3);
    assertTrue(reachability.recordCheck("s", 2, 3, millis(1_510)));
    assertFalse(reachability.isCutOff("s"));
    assertTrue(reachability.isAffected("s", millis(1_600)));
    assertFalse(reachability.isAffected("s", millis(5_000)));
  }

  /** Many failures at once start one check; each costs connections to targets. */
  @Test
  public void checksAreRare() {
    assertEquals(start(0).size(), 3);
    assertTrue(start(1).isEmpty());
    reachability.recordCheck("s", 3, 3, millis(10));
    assertTrue(start(400).isEmpty());
    assertEquals(start(500).size(), 3);
  }

  /** Crashed targets among the checked ones must not look like a cut of the VM's links. */
  @Test
  public void suspectTargetsAreCheckedLast() {
    for (int i = 0; i < 7; i++) {
      fleet.markSuspect("t" + i, millis(3_000));
    }
    for (TargetStatement target : start(100)) {
      assertTrue(List.of("t7", "t8", "t9").contains(target.id()), target.id());
    }
  }

  /** A target may be silent for a second while others of its service send. */
  @Test
  public void silenceOfOneTargetIsNoReasonToCheck() {
    reachability.recordHeard("s", millis(900));
    assertFalse(reachability.isSilent("s", millis(0), millis(1_000)));
    assertTrue(reachability.isSilent("s", millis(0), millis(1_300)));
    assertFalse(reachability.isSilent("s", millis(1_200), millis(1_300)));
  }
}
