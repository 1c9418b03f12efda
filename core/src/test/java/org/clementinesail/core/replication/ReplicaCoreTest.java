package org.clementinesail.core.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests bootstrap, elections, reads, leases and disk repair under failures. */
public final class ReplicaCoreTest {

  private static void proposeAndRun(SimulatedCluster cluster, String vm, int from, int count) {
    for (int i = 0; i < count; i++) {
      cluster.propose(vm, from + i);
      cluster.run(20);
    }
  }

  /** Tests how a cluster is formed. */
  public static final class BootstrapTest {
    /** Initial members with blank disks wait until all of them are running. */
    @Test
    public void waitsForAllInitialMembers() {
      SimulatedCluster cluster = new SimulatedCluster(1, "a", "b", "c");
      cluster.kill("c");
      cluster.run(5_000);
      assertNull(cluster.leader());
      assertEquals(cluster.core("a").role(), Role.BLANK);
      cluster.start("c");
      cluster.awaitLeader();
    }

    /** Two wiped initial members do not form a second cluster beside that of the third. */
    @Test
    public void wipedMajorityDoesNotFormSecondCluster() {
      SimulatedCluster cluster = new SimulatedCluster(2, "a", "b", "c");
      String leader = cluster.awaitLeader().vm;
      proposeAndRun(cluster, leader, 1, 5);
      cluster.wipe("a");
      cluster.wipe("b");
      cluster.start("a");
      cluster.start("b");
      cluster.run(10_000);
      assertEquals(cluster.core("a").role(), Role.BLANK);
      assertEquals(cluster.core("b").role(), Role.BLANK);
    }

    /** An initial member that did not receive the initial configuration joins later. */
    @Test
    public void initialMemberThatMissedInitialConfigJoins() {
      SimulatedCluster cluster = new SimulatedCluster(3, "a", "b", "c");
      cluster.cut("a", "c");
      cluster.cut("b", "c");
      cluster.run(3_000);
      assertEquals(cluster.core("c").role(), Role.BLANK);
      cluster.restoreLinks();
      cluster.run(3_000);
      assertNotEquals(cluster.core("c").role(), Role.BLANK);
      assertTrue(cluster.core("c").commitIndex() > 0);
    }
  }

  /** Tests how a leader is elected and keeps its role. */
  public static final class ElectionTest {
    /** A reconnected replica does not depose the leader or raise its term. */
    @Test
    public void reconnectedReplicaDoesNotDeposeLeader() {
      SimulatedCluster cluster = new SimulatedCluster(4, "a", "b", "c");
      SimulatedCluster.Node leader = cluster.awaitLeader();
      long term = cluster.core(leader.vm).term();
      String other = leader.vm.equals("a") ? "b" : "a";
      cluster.isolate(other);
      cluster.run(5_000);
      cluster.restoreLinks();
      cluster.run(2_000);
      assertEquals(cluster.core(leader.vm).role(), Role.LEADER);
      assertEquals(cluster.core(leader.vm).term(), term);
    }

    /** A leader without contact with a majority steps down before another leader holds a lease. */
    @Test
    public void isolatedLeaderStepsDown() {
      SimulatedCluster cluster = new SimulatedCluster(5, "a", "b", "c");
      SimulatedCluster.Node old = cluster.awaitLeader();
      cluster.isolate(old.vm);
      cluster.run(700);
      assertNotEquals(cluster.core(old.vm).role(), Role.LEADER);
      SimulatedCluster.Node next = cluster.awaitLeader();
      assertNotEquals(next.vm, old.vm);
    }

    /** A leader that can send but not receive also steps down. */
    @Test
    public void leaderWithoutIncomingMessagesStepsDown() {
      SimulatedCluster cluster = new SimulatedCluster(6, "a", "b", "c");
      SimulatedCluster.Node old = cluster.awaitLeader();
      for (String vm : List.of("a", "b", "c")) {
        cluster.cut(vm, old.vm);
      }
      cluster.run(3_000);
      assertNotEquals(cluster.core(old.vm).role(), Role.LEADER);
      assertNotNull(cluster.leader());
    }

    /** The lease of a frozen leader has ended before it learns of its successor. */
    @Test
    public void leaseOfFrozenLeaderExpires() {
      SimulatedCluster cluster = new SimulatedCluster(14, "a", "b", "c");
      SimulatedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      ReplicaCore frozen = cluster.core(old.vm);
      assertTrue(frozen.leaseDeadline(cluster.now()) > cluster.now());
      cluster.kill(old.vm);
      SimulatedCluster.Node next = cluster.awaitLeader();
      assertNotEquals(next.vm, old.vm);
      assertTrue(frozen.leaseDeadline(cluster.now()) <= cluster.now());
    }

    /** A leadership transfer does not wait for an election timeout. */
    @Test
    public void transfersLeadershipWithoutElectionTimeout() {
      SimulatedCluster cluster = new SimulatedCluster(7, "a", "b", "c");
      SimulatedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      cluster.core(old.vm).transferLeadership(cluster.now());
      cluster.run(150);
      SimulatedCluster.Node next = cluster.leader();
      assertNotNull(next);
      assertNotEquals(next.vm, old.vm);
    }

    /** A voter that has just restarted still honours the lease that it supported before. */
    @Test
    public void restartedVoterHonoursLease() {
      SimulatedCluster cluster = new SimulatedCluster(8, "a", "b", "c");
      SimulatedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      List<String> others =
          List.of("a", "b", "c").stream().filter(vm -> !vm.equals(old.vm)).toList();
      cluster.kill(others.get(0));
      cluster.start(others.get(0));
      cluster.core(others.get(0)).takeOutputs();
      ReplicaCore restarted = cluster.core(others.get(0));
      ReplicaCore candidate = cluster.core(others.get(1));
      restarted.receive(
          new ReplicaMessage(
              clusterId(cluster, others.get(1)),
              candidate.self(),
              restarted.self(),
              candidate.term() + 1,
              new ReplicaMessage.Vote(1_000, candidate.term(), false)),
          cluster.now());
      assertTrue(restarted.takeOutputs().isEmpty(), "a vote was answered within the lease");
    }

    /**
     * When all replicas restart together, their pre-vote requests show each other that none holds a
     * lease, so the next leader is elected before an old lease would have ended.
     */
    @Test(dataProvider = "seeds")
    public void electsLeaderBeforeLeaseEndsWhenAllRestart(long seed) {
      SimulatedCluster cluster = new SimulatedCluster(seed, "a", "b", "c");
      String leader = cluster.awaitLeader().vm;
      proposeAndRun(cluster, leader, 1, 5);
      List.of("a", "b", "c").forEach(cluster::kill);
      cluster.run(100);
      List.of("a", "b", "c").forEach(cluster::start);
      long lease = TimeUnit.NANOSECONDS.toMillis(SimulatedCluster.TIMING.minElectionTimeoutNanos());
      cluster.run(lease - 20);
      assertNotNull(cluster.leader(), "no leader yet");
    }

    /** Ten seeds of the random election timeouts. */
    @DataProvider
    public Object[][] seeds() {
      return LongStream.rangeClosed(1, 10)
          .mapToObj(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    /** If one replica is unreachable, the others wait, because it may still hold a lease. */
    @Test
    public void waitsForLeaseWhenOneReplicaIsMissing() {
      SimulatedCluster cluster = new SimulatedCluster(11, "a", "b", "c");
      String leader = cluster.awaitLeader().vm;
      List<String> others = List.of("a", "b", "c").stream().filter(v -> !v.equals(leader)).toList();
      cluster.isolate(leader);
      others.forEach(cluster::kill);
      others.forEach(cluster::start);
      long lease = TimeUnit.NANOSECONDS.toMillis(SimulatedCluster.TIMING.leaseNanos());
      cluster.run(lease - 20);
      others.forEach(other -> assertNotEquals(cluster.core(other).role(), Role.LEADER));
      cluster.run(3 * lease);
      assertNotEquals(cluster.leader().vm, leader);
    }

    private static long clusterId(SimulatedCluster cluster, String vm) {
      return cluster.nodes.get(vm).disk.clusterId();
    }
  }

  /** Tests reads, which a majority must confirm. */
  public static final class ReadTest {
    /** An isolated leader confirms no read. */
    @Test
    public void isolatedLeaderConfirmsNoRead() {
      SimulatedCluster cluster = new SimulatedCluster(9, "a", "b", "c");
      SimulatedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      cluster.isolate(old.vm);
      cluster.results.clear();
      cluster.core(old.vm).read(77);
      cluster.run(3_000);
      assertTrue(cluster.results.contains(new Output.Refused(77)));
      assertFalse(cluster.results.stream().anyMatch(a -> a instanceof Output.ReadConfirmed));
    }

    /** A read sees the entries committed before it. */
    @Test
    public void readSeesCommittedEntries() {
      SimulatedCluster cluster = new SimulatedCluster(10, "a", "b", "c");
      SimulatedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 3);
      cluster.results.clear();
      long commit = cluster.core(leader.vm).commitIndex();
      cluster.core(leader.vm).read(5);
      cluster.run(200);
      assertTrue(cluster.results.contains(new Output.ReadConfirmed(5, commit)));
    }
  }

  /** Tests the repair after a disk is lost. */
  public static final class RepairTest {
    /** A blank replica joins as a learner and becomes a voter once it has all committed entries. */
    @Test
    public void survivesLeaderLossAfterDiskRepair() {
      SimulatedCluster cluster = new SimulatedCluster(11, "a", "b", "c");
      SimulatedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 20);
      String wiped = leader.vm.equals("a") ? "b" : "a";
      cluster.wipe(wiped);
      cluster.start(wiped);
      ReplicaId joined = cluster.core(wiped).self();
      int steps = 0;
      while (!cluster.core(leader.vm).config().voters().contains(joined)) {
        cluster.step();
        assertTrue(steps++ < 1_000, "the repair is not done after 10 s of simulated time");
      }
      // The repair is reported as done, so the leader may now fail.
      long committedIndex = cluster.core(leader.vm).commitIndex();
      cluster.run(300);
      cluster.kill(leader.vm);
      SimulatedCluster.Node next = cluster.awaitLeader();
      assertTrue(cluster.core(next.vm).commitIndex() >= committedIndex);
      proposeAndRun(cluster, next.vm, 100, 3);
      assertTrue(cluster.committed.size() >= committedIndex + 3);
    }

    /** A wiped VM has no vote under its old disk id; the one voter left of three is no majority. */
    @Test
    public void wipedReplicaHasNoVote() {
      SimulatedCluster cluster = new SimulatedCluster(12, "a", "b", "c");
      SimulatedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 5);
      List<String> others =
          List.of("a", "b", "c").stream().filter(vm -> !vm.equals(leader.vm)).toList();
      cluster.kill(leader.vm);
      cluster.wipe(others.get(0));
      cluster.start(others.get(0));
      cluster.run(10_000);
      assertNull(cluster.leader());
    }

    /** Regression: a snapshot sent for a late Hello made a follower drop acknowledged entries. */
    @Test
    public void olderSnapshotKeepsLaterEntries() {
      SimulatedCluster cluster = new SimulatedCluster(13, "a", "b", "c");
      SimulatedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 4);
      String follower = leader.vm.equals("a") ? "b" : "a";
      ReplicaCore core = cluster.core(follower);
      long last = core.lastIndex();
      StoredState disk = cluster.nodes.get(follower).disk;
      StoredState restored =
          new StoredState(
              disk.clusterId(), disk.term(), disk.votedFor(), disk.snapshot(), disk.entries());
      ReplicaCore restarted =
          new ReplicaCore(
              core.self(),
              Membership.fixed(List.of("a", "b", "c")),
              restored,
              SimulatedCluster.TIMING,
              new Random(1),
              cluster.now());
      Snapshot snapshot = new Snapshot(2, disk.entries().get(1).term(), core.config(), new byte[0]);
      restarted.receive(
          new ReplicaMessage(
              disk.clusterId(),
              cluster.core(leader.vm).self(),
              core.self(),
              cluster.core(leader.vm).term(),
              new ReplicaMessage.InstallSnapshot(snapshot, 1)),
          cluster.now());
      assertEquals(restarted.lastIndex(), last);
    }
  }
}
