package org.clementinesail.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a VM believes of targets from statements that come late, twice and out of order. */
public class FleetTest {
  private static final long LEASE = TimeUnit.SECONDS.toNanos(5);

  static TargetStatement statement(
      String id, String address, Phase phase, long startedAt, long sequence) {
    return new TargetStatement(
        id, "lm", address, "a", 8, phase, "l4", new LayerRange(0, 8), startedAt, sequence);
  }

  private static List<String> ready(Fleet fleet, long now) {
    return fleet.ready("lm", now).stream().map(m -> m.statement().id()).sorted().toList();
  }

  /** A leaving target. */
  public static class LeavingTest {
    private Fleet fleet = new Fleet(LEASE);

    /** Each test begins with no targets. */
    @BeforeMethod
    public void forget() {
      fleet = new Fleet(LEASE);
    }

    /** A statement from before the leaving does not bring the target back. */
    @Test
    public void lateHeartbeatDoesNotBringItBack() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      fleet.recordStatement(statement("t", "h:1", Phase.DRAINING, 10, 3), 1);
      assertFalse(fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 9), 2));
      assertEquals(ready(fleet, 3), List.of());
    }

    /** The same id may start again, which its time of start shows. */
    @Test
    public void newStartBringsItBack() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 5), 0);
      fleet.recordDeregistration("t", 1);
      assertEquals(ready(fleet, 2), List.of());
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 20, 1), 3);
      assertEquals(ready(fleet, 4), List.of("t"));
    }

    /** A goodbye that another VM heard counts though it says nothing else. */
    @Test
    public void goodbyeFromAnotherVmCounts() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 5), 0);
      assertTrue(fleet.recordStatement(TargetStatement.deregistered("t"), 1));
      assertEquals(ready(fleet, 2), List.of());
    }
  }

  /** Who is ready. */
  public static class ReadyTest {
    private Fleet fleet = new Fleet(LEASE);

    /** Each test begins with no targets. */
    @BeforeMethod
    public void forget() {
      fleet = new Fleet(LEASE);
    }

    /** A silent target lapses. */
    @Test
    public void silentTargetLapses() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      assertEquals(ready(fleet, LEASE - 1), List.of("t"));
      assertEquals(ready(fleet, LEASE), List.of());
    }

    /** While no statements reach this VM, targets do not lapse; afterwards silent ones do. */
    @Test
    public void nothingLapsesWhileNothingIsHeard() {
      long second = TimeUnit.SECONDS.toNanos(1);
      fleet.recordContact(0);
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      fleet.recordStatement(statement("u", "h:2", Phase.READY, 10, 1), 0);
      assertEquals(ready(fleet, 30 * second), List.of("t", "u"));
      for (long at = 30 * second; at < 40 * second; at += second) {
        fleet.recordContact(at);
        fleet.recordStatement(statement("u", "h:2", Phase.READY, 10, 2 + at), at);
      }
      assertEquals(ready(fleet, 40 * second), List.of("u"));
    }

    /** A heartbeat that was held up does not displace the target that has the address now. */
    @Test
    public void addressBelongsToTheLastStarted() {
      fleet.recordStatement(statement("new", "h:1", Phase.READY, 20, 1), 0);
      fleet.recordStatement(statement("old", "h:1", Phase.READY, 10, 50), 1);
      assertEquals(ready(fleet, 2), List.of("new"));
    }

    /** A report newer than the statement says which layers are held. */
    @Test
    public void newerReportTellsTheLayers() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      LayerRange moved = new LayerRange(8, 16);
      fleet.recordReport(new EngineReport("t", true, 0, 0, 0, 0, 1, false, 1, moved, 5), 5);
      assertEquals(fleet.member("t").orElseThrow().layers(), moved);
      assertTrue(fleet.member("t").orElseThrow().freshReport(6).isPresent());
    }

    /** An engine that gave no report is set aside for a while. */
    @Test
    public void silentEngineIsSetAside() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      fleet.recordReport(EngineReport.unreachable("t", 5), 100);
      assertTrue(fleet.member("t").orElseThrow().isSuspect(50));
      assertFalse(fleet.member("t").orElseThrow().isSuspect(100));
    }
  }
}
