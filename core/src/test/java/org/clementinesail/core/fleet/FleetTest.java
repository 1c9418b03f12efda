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

/** Tests the state of targets after statements that arrive late, repeatedly and out of order. */
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

  /** Targets that leave. */
  public static class DeregistrationTest {
    private Fleet fleet = new Fleet(LEASE);

    /** Starts each test without targets. */
    @BeforeMethod
    public void reset() {
      fleet = new Fleet(LEASE);
    }

    /** A draining target does not become ready again without a restart. */
    @Test
    public void lateStatementDoesNotRestoreTarget() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      fleet.recordStatement(statement("t", "h:1", Phase.DRAINING, 10, 3), 1);
      assertFalse(fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 9), 2));
      assertEquals(ready(fleet, 3), List.of());
    }

    /** A target that restarts with the same id, and so with a later start, is ready again. */
    @Test
    public void newStartRestoresTarget() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 5), 0);
      fleet.recordDeregistration("t", 1);
      assertEquals(ready(fleet, 2), List.of());
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 20, 1), 3);
      assertEquals(ready(fleet, 4), List.of("t"));
    }

    /** A late deregistration of an earlier lifetime leaves the one that came back in use. */
    @Test
    public void lateDeregistrationAppliesToItsLifetimeOnly() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 20, 1), 0);
      assertFalse(fleet.recordStatement(TargetStatement.deregistered("t", 10, 90), 1));
      assertEquals(ready(fleet, 2), List.of("t"));
      assertTrue(fleet.recordStatement(TargetStatement.deregistered("t", 20, 91), 3));
      assertEquals(ready(fleet, 4), List.of());
    }

    /** A deregistration that overtakes the target's last heartbeats still ends its lifetime. */
    @Test
    public void deregistrationBeforeTheFirstStatementApplies() {
      fleet.recordStatement(TargetStatement.deregistered("t", 10, 3), 0);
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 2), 1);
      assertEquals(ready(fleet, 2), List.of());
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 20, 1), 3);
      assertEquals(ready(fleet, 4), List.of("t"));
    }

    /** A target that left keeps its address from a late statement of an earlier one there. */
    @Test
    public void deregistrationKeepsTheAddress() {
      fleet.recordStatement(statement("old", "h:1", Phase.READY, 10, 1), 0);
      fleet.recordStatement(statement("new", "h:1", Phase.READY, 20, 1), 1);
      fleet.recordStatement(TargetStatement.deregistered("new", 20, 2), 2);
      assertEquals(ready(fleet, 3), List.of());
    }

    /** A deregistration passed on by another VM applies although it states only the id. */
    @Test
    public void appliesDeregistrationFromAnotherVm() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 5), 0);
      assertTrue(fleet.recordStatement(TargetStatement.deregistered("t"), 1));
      assertEquals(ready(fleet, 2), List.of());
    }
  }

  /** Targets that are ready. */
  public static class ReadyTest {
    private Fleet fleet = new Fleet(LEASE);

    /** Starts each test without targets. */
    @BeforeMethod
    public void reset() {
      fleet = new Fleet(LEASE);
    }

    /** A target without new statements is not ready once its lease has ended. */
    @Test
    public void leaseEndsWithoutStatements() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      assertEquals(ready(fleet, LEASE - 1), List.of("t"));
      assertEquals(ready(fleet, LEASE), List.of());
    }

    /** Leases pause while no statements reach this VM, and run on as soon as any arrive. */
    @Test
    public void leasesPauseWithoutContact() {
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

    /** A delayed statement of an earlier target does not replace the present one at an address. */
    @Test
    public void latestStartedTargetOwnsAddress() {
      fleet.recordStatement(statement("new", "h:1", Phase.READY, 20, 1), 0);
      fleet.recordStatement(statement("old", "h:1", Phase.READY, 10, 50), 1);
      assertEquals(ready(fleet, 2), List.of("new"));
    }

    /** The layers of a report that is newer than the statement are used. */
    @Test
    public void newerReportOverridesLayers() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      LayerRange moved = new LayerRange(8, 16);
      fleet.recordReport(new EngineReport("t", true, 0, 0, 0, 0, 1, false, 1, moved, 5), 5);
      assertEquals(fleet.member("t").orElseThrow().layers(), moved);
      assertTrue(fleet.member("t").orElseThrow().freshReport(6).isPresent());
    }

    /** An engine that gave no report is suspect until the given time. */
    @Test
    public void unreachableEngineIsSuspect() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1), 0);
      fleet.recordReport(EngineReport.unreachable("t", 5), 100);
      assertTrue(fleet.member("t").orElseThrow().isSuspect(50));
      assertFalse(fleet.member("t").orElseThrow().isSuspect(100));
    }
  }

  /** What targets state in answers to this VM. */
  public static class NoticeTest {
    private Fleet fleet = new Fleet(LEASE);

    /** Starts each test with one target. */
    @BeforeMethod
    public void reset() {
      fleet = new Fleet(LEASE);
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 5), 0);
    }

    /** A heartbeat that was sent before the answer does not put a leaving target back into use. */
    @Test
    public void leavingLastsUntilTheNextStart() {
      assertTrue(fleet.recordLeaving(statement("t", "h:1", Phase.READY, 10, 5)));
      assertFalse(fleet.recordLeaving(statement("t", "h:1", Phase.READY, 10, 6)));
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 7), 1);
      assertEquals(ready(fleet, 2), List.of());
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 20, 1), 3);
      assertEquals(ready(fleet, 4), List.of("t"));
    }

    /** A target that wants no requests for a time is ready again at its end, not before. */
    @Test
    public void deferralEndsByItself() {
      TargetStatement target = statement("t", "h:1", Phase.READY, 10, 5);
      fleet.recordDeferral(target, 100);
      fleet.recordDeferral(target, 60);
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 6), 10);
      assertEquals(ready(fleet, 99), List.of());
      assertEquals(fleet.deferredUntil("lm", 99).orElse(0), 100);
      assertEquals(ready(fleet, 100), List.of("t"));
      assertTrue(fleet.deferredUntil("lm", 100).isEmpty());
    }

    /** A restart ends a deferral; of several, the first to end counts. */
    @Test
    public void deferralBelongsToALifetime() {
      fleet.recordDeferral(statement("t", "h:1", Phase.READY, 10, 5), 100);
      fleet.recordStatement(statement("u", "h:2", Phase.READY, 10, 1), 1);
      fleet.recordDeferral(statement("u", "h:2", Phase.READY, 10, 1), 80);
      assertEquals(fleet.deferredUntil("lm", 2).orElse(0), 80);
      assertEquals(ready(fleet, 2), List.of());
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 20, 1), 3);
      assertEquals(ready(fleet, 4), List.of("t"));
    }

    /** A leaving target keeps its address from an earlier one that is not yet known to be gone. */
    @Test
    public void leavingTargetKeepsItsAddress() {
      fleet.recordStatement(statement("old", "h:1", Phase.READY, 5, 1), 1);
      fleet.recordLeaving(statement("t", "h:1", Phase.READY, 10, 5));
      assertEquals(ready(fleet, 2), List.of());
    }
  }

  /** Statements of another writer under the id of a sound target. */
  public static class DisplacementTest {
    private Fleet fleet = new Fleet(LEASE);

    /** Starts each test with a sound target. */
    @BeforeMethod
    public void reset() {
      fleet = new Fleet(LEASE);
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 5), 0);
    }

    /** A sequence far ahead does not make the target's own statements look late. */
    @Test
    public void sequenceFarAheadDoesNotEndTheLease() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 1L << 52), 1);
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 6), LEASE);
      assertEquals(ready(fleet, LEASE + 1), List.of("t"));
    }

    /** A late statement, some numbers behind, still changes nothing. */
    @Test
    public void lateStatementIsIgnored() {
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 3), LEASE - 1);
      assertEquals(ready(fleet, LEASE), List.of());
    }

    /** A copy of a target's statement under another id does not take over its address. */
    @Test
    public void copyUnderAnotherIdDoesNotOwnTheAddress() {
      for (String id : List.of("a", "z", "copy-of-t")) {
        fleet.recordStatement(statement(id, "h:1", Phase.READY, 10, 9), 1);
      }
      fleet.recordStatement(statement("t", "h:1", Phase.READY, 10, 6), 2);
      assertEquals(ready(fleet, 3), List.of("t"));
      fleet.recordStatement(statement("copy-of-t", "h:1", Phase.READY, 10, 10), 4);
      assertEquals(ready(fleet, 5), List.of("t"));
      assertEquals(fleet.latestAt("h:1").orElseThrow().statement().id(), "t");
    }

    /** A target does not move within a lifetime. */
    @Test
    public void addressStaysTheSameWithinALifetime() {
      fleet.recordStatement(statement("t", "h:2", Phase.READY, 10, 6), 1);
      assertEquals(fleet.ready("lm", 2).get(0).statement().address(), "h:1");
      fleet.recordStatement(statement("t", "h:2", Phase.READY, 20, 1), 2);
      assertEquals(fleet.ready("lm", 3).get(0).statement().address(), "h:2");
    }
  }
}
