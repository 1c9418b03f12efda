package org.clementinesail.core.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Elections, replication, repair and authority under failure. */
public final class ReplicaCoreTest {

  private static void proposeAndRun(SteppedCluster cluster, String vm, int from, int count) {
    for (int i = 0; i < count; i++) {
      cluster.propose(vm, from + i);
      cluster.run(20);
    }
  }

  /** Forming a cluster. */
  public static final class FormationTest {
    /** Blank founders wait until all are present. */
    @Test
    public void waitsForEveryFounder() {
      SteppedCluster cluster = new SteppedCluster(1, "a", "b", "c");
      cluster.kill("c");
      cluster.run(5_000);
      assertNull(cluster.leader());
      assertEquals(cluster.core("a").role(), Role.BLANK);
      cluster.start("c");
      cluster.awaitLeader();
    }

    /** Two wiped founders do not start a second history beside the third's. */
    @Test
    public void blankMajorityStartsNoSecondHistory() {
      SteppedCluster cluster = new SteppedCluster(2, "a", "b", "c");
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

    /** A founder that misses the founding message joins later. */
    @Test
    public void founderThatMissedTheFoundingJoins() {
      SteppedCluster cluster = new SteppedCluster(3, "a", "b", "c");
      cluster.cut("a", "c");
      cluster.cut("b", "c");
      cluster.run(3_000);
      assertEquals(cluster.core("c").role(), Role.BLANK);
      cluster.heal();
      cluster.run(3_000);
      assertNotEquals(cluster.core("c").role(), Role.BLANK);
      assertTrue(cluster.core("c").commit() > 0);
    }
  }

  /** Electing and keeping a leader. */
  public static final class ElectionTest {
    /** A replica that was cut off does not disturb the leader on its return. */
    @Test
    public void returningReplicaDoesNotDisturb() {
      SteppedCluster cluster = new SteppedCluster(4, "a", "b", "c");
      SteppedCluster.Node leader = cluster.awaitLeader();
      long term = cluster.core(leader.vm).term();
      String other = leader.vm.equals("a") ? "b" : "a";
      cluster.isolate(other);
      cluster.run(5_000);
      cluster.heal();
      cluster.run(2_000);
      assertEquals(cluster.core(leader.vm).role(), Role.LEADER);
      assertEquals(cluster.core(leader.vm).term(), term);
    }

    /** A leader that does not hear the majority gives up, before another has authority. */
    @Test
    public void isolatedLeaderGivesUp() {
      SteppedCluster cluster = new SteppedCluster(5, "a", "b", "c");
      SteppedCluster.Node old = cluster.awaitLeader();
      cluster.isolate(old.vm);
      cluster.run(700);
      assertNotEquals(cluster.core(old.vm).role(), Role.LEADER);
      SteppedCluster.Node next = cluster.awaitLeader();
      assertNotEquals(next.vm, old.vm);
    }

    /** A leader that can send but not hear gives up too. */
    @Test
    public void leaderThatOnlySendsGivesUp() {
      SteppedCluster cluster = new SteppedCluster(6, "a", "b", "c");
      SteppedCluster.Node old = cluster.awaitLeader();
      for (String vm : List.of("a", "b", "c")) {
        cluster.cut(vm, old.vm);
      }
      cluster.run(3_000);
      assertNotEquals(cluster.core(old.vm).role(), Role.LEADER);
      assertNotNull(cluster.leader());
    }

    /** A leader that was frozen finds its authority lapsed before it hears of its successor. */
    @Test
    public void frozenLeaderHasNoAuthorityAfterwards() {
      SteppedCluster cluster = new SteppedCluster(14, "a", "b", "c");
      SteppedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      ReplicaCore frozen = cluster.core(old.vm);
      assertTrue(frozen.authorityDeadline(cluster.now()) > cluster.now());
      cluster.kill(old.vm);
      SteppedCluster.Node next = cluster.awaitLeader();
      assertNotEquals(next.vm, old.vm);
      assertTrue(frozen.authorityDeadline(cluster.now()) <= cluster.now());
    }

    /** Leadership is handed over without waiting for an election timeout. */
    @Test
    public void handsLeadershipOver() {
      SteppedCluster cluster = new SteppedCluster(7, "a", "b", "c");
      SteppedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      cluster.core(old.vm).transferLeadership(cluster.now());
      cluster.run(150);
      SteppedCluster.Node next = cluster.leader();
      assertNotNull(next);
      assertNotEquals(next.vm, old.vm);
    }

    /** A voter that has just restarted still honours the lease it supported. */
    @Test
    public void restartedVoterHonoursTheLease() {
      SteppedCluster cluster = new SteppedCluster(8, "a", "b", "c");
      SteppedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      List<String> others =
          List.of("a", "b", "c").stream().filter(vm -> !vm.equals(old.vm)).toList();
      cluster.kill(others.get(0));
      cluster.start(others.get(0));
      cluster.core(others.get(0)).takeOutputs();
      ReplicaCore restarted = cluster.core(others.get(0));
      ReplicaCore asker = cluster.core(others.get(1));
      restarted.receive(
          new ReplicaMessage(
              clusterOf(cluster, others.get(1)),
              asker.self(),
              restarted.self(),
              asker.term() + 1,
              new ReplicaMessage.Vote(1_000, asker.term(), false)),
          cluster.now());
      assertTrue(restarted.takeOutputs().isEmpty(), "a vote was answered within the lease");
    }

    private static long clusterOf(SteppedCluster cluster, String vm) {
      return cluster.nodes.get(vm).disk.cluster();
    }
  }

  /** Reads confirmed by the majority. */
  public static final class ReadTest {
    /** A leader that is cut off confirms no read. */
    @Test
    public void isolatedLeaderConfirmsNoRead() {
      SteppedCluster cluster = new SteppedCluster(9, "a", "b", "c");
      SteppedCluster.Node old = cluster.awaitLeader();
      cluster.run(200);
      cluster.isolate(old.vm);
      cluster.answers.clear();
      cluster.core(old.vm).read(77);
      cluster.run(3_000);
      assertTrue(cluster.answers.contains(new Output.Refused(77)));
      assertFalse(cluster.answers.stream().anyMatch(a -> a instanceof Output.ReadConfirmed));
    }

    /** A read sees what was accepted before it. */
    @Test
    public void readSeesAcceptedEntries() {
      SteppedCluster cluster = new SteppedCluster(10, "a", "b", "c");
      SteppedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 3);
      cluster.answers.clear();
      long commit = cluster.core(leader.vm).commit();
      cluster.core(leader.vm).read(5);
      cluster.run(200);
      assertTrue(cluster.answers.contains(new Output.ReadConfirmed(5, commit)));
    }
  }

  /** Lost disks and repair. */
  public static final class RepairTest {
    /** A blank replica joins as a learner, and counts again only with everything accepted. */
    @Test
    public void lostDiskIsRepairedAndSecondLossSurvived() {
      SteppedCluster cluster = new SteppedCluster(11, "a", "b", "c");
      SteppedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 20);
      String lost = leader.vm.equals("a") ? "b" : "a";
      cluster.wipe(lost);
      cluster.start(lost);
      ReplicaId joined = cluster.core(lost).self();
      int steps = 0;
      while (!cluster.core(leader.vm).config().voters().contains(joined)) {
        cluster.step();
        assertTrue(steps++ < 1_000, "the repair is not done after 10 s of stepped time");
      }
      // Reported done: from here on the leader may be lost.
      long acceptedUpTo = cluster.core(leader.vm).commit();
      cluster.run(300);
      cluster.kill(leader.vm);
      SteppedCluster.Node next = cluster.awaitLeader();
      assertTrue(cluster.core(next.vm).commit() >= acceptedUpTo);
      proposeAndRun(cluster, next.vm, 100, 3);
      assertTrue(cluster.accepted.size() >= acceptedUpTo + 3);
    }

    /** The wiped VM's old identity is not counted: one remaining voter of three is no majority. */
    @Test
    public void blankReplicaDoesNotVoteForItsOldIdentity() {
      SteppedCluster cluster = new SteppedCluster(12, "a", "b", "c");
      SteppedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 5);
      List<String> others =
          List.of("a", "b", "c").stream().filter(vm -> !vm.equals(leader.vm)).toList();
      cluster.kill(leader.vm);
      cluster.wipe(others.get(0));
      cluster.start(others.get(0));
      cluster.run(10_000);
      assertNull(cluster.leader());
    }

    /** Regression: a late greeting must not make a follower drop entries it has acknowledged. */
    @Test
    public void snapshotKeepsTheEntriesBehindIt() {
      SteppedCluster cluster = new SteppedCluster(13, "a", "b", "c");
      SteppedCluster.Node leader = cluster.awaitLeader();
      proposeAndRun(cluster, leader.vm, 1, 4);
      String follower = leader.vm.equals("a") ? "b" : "a";
      ReplicaCore core = cluster.core(follower);
      long last = core.lastIndex();
      StoredState disk = cluster.nodes.get(follower).disk;
      StoredState uncommitted =
          new StoredState(
              disk.cluster(), disk.term(), disk.votedFor(), disk.snapshot(), disk.entries());
      ReplicaCore restarted =
          new ReplicaCore(
              core.self(),
              List.of("a", "b", "c"),
              uncommitted,
              SteppedCluster.TIMING,
              new Random(1),
              cluster.now());
      Snapshot snapshot = new Snapshot(2, disk.entries().get(1).term(), core.config(), new byte[0]);
      restarted.receive(
          new ReplicaMessage(
              disk.cluster(),
              cluster.core(leader.vm).self(),
              core.self(),
              cluster.core(leader.vm).term(),
              new ReplicaMessage.InstallSnapshot(snapshot, 1)),
          cluster.now());
      assertEquals(restarted.lastIndex(), last);
    }
  }

  /** Single rules, met by hand-made messages. */
  public static final class RuleTest {
    private static final ReplicaId A = new ReplicaId("a", 1);
    private static final ReplicaId B = new ReplicaId("b", 1);
    private static final ReplicaId C = new ReplicaId("c", 1);
    private static final ReplicaConfig ABC = new ReplicaConfig(List.of(A, B, C), List.of());
    private static final long CLUSTER = 5;
    private static final long LATER = 10_000_000_000L;

    private static ReplicaCore replica(long term, LogEntry... entries) {
      StoredState stored =
          new StoredState(
              CLUSTER, term, null, new Snapshot(0, 0, ABC, new byte[0]), List.of(entries));
      return new ReplicaCore(
          A, List.of("a", "b", "c"), stored, SteppedCluster.TIMING, new Random(1), 0);
    }

    private static LogEntry noOp(long index, long term) {
      return new LogEntry(index, term, new LogEntry.NoOp());
    }

    private static void say(ReplicaCore core, ReplicaId from, long term, ReplicaMessage.Body body) {
      core.receive(new ReplicaMessage(CLUSTER, from, A, term, body), LATER);
    }

    private static boolean granted(ReplicaCore core) {
      return core.takeOutputs().stream()
          .anyMatch(
              o ->
                  o instanceof Output.Send s
                      && s.message().body() instanceof ReplicaMessage.VoteReply reply
                      && reply.granted());
    }

    /** Makes a replica stand for election without waiting. */
    private static ReplicaCore candidate(long term, LogEntry... entries) {
      ReplicaCore core = replica(term, entries);
      say(core, B, term, new ReplicaMessage.TakeOver());
      core.takeOutputs();
      return core;
    }

    /** A candidate that lacks accepted entries gets no vote, whatever its term. */
    @Test
    public void candidateThatLacksEntriesGetsNoVote() {
      ReplicaCore core = replica(2, noOp(1, 1), noOp(2, 2));
      say(core, B, 3, new ReplicaMessage.Vote(1, 1, false));
      assertFalse(granted(core), "shorter log");
      say(core, B, 4, new ReplicaMessage.Vote(9, 1, false));
      assertFalse(granted(core), "longer log of an older term");
      say(core, B, 5, new ReplicaMessage.Vote(2, 2, false));
      assertTrue(granted(core), "equal log");
    }

    /** One vote a term, also after a restart. */
    @Test
    public void votesOnceATerm() {
      ReplicaCore core = replica(2);
      say(core, B, 3, new ReplicaMessage.Vote(0, 0, false));
      assertTrue(granted(core));
      say(core, C, 3, new ReplicaMessage.Vote(0, 0, false));
      assertFalse(granted(core));
    }

    /** An entry of an earlier term counts only together with one of the leader's own term. */
    @Test
    public void entryOfEarlierTermIsNotAcceptedByCounting() {
      ReplicaCore core = candidate(2, noOp(1, 1), noOp(2, 2));
      say(core, B, 3, new ReplicaMessage.VoteReply(true));
      assertEquals(core.role(), Role.LEADER);
      say(core, B, 3, new ReplicaMessage.AppendReply(true, 2, 1));
      assertEquals(core.commit(), 0);
      say(core, B, 3, new ReplicaMessage.AppendReply(true, 3, 1));
      assertEquals(core.commit(), 3);
    }

    /** The vote of a replica that is not a voter, such as a blank disk on a voter's VM, is void. */
    @Test
    public void voteOfAnotherDiskIsVoid() {
      ReplicaCore core = candidate(2);
      say(core, new ReplicaId("b", 99), 3, new ReplicaMessage.VoteReply(true));
      assertEquals(core.role(), Role.CANDIDATE);
    }

    /** A message to a disk that the VM has lost is not for its new one. */
    @Test
    public void messageToALostDiskIsDropped() {
      ReplicaCore core = replica(2);
      ReplicaId lost = new ReplicaId("a", 77);
      core.receive(
          new ReplicaMessage(CLUSTER, B, lost, 9, new ReplicaMessage.Vote(9, 9, false)), LATER);
      assertTrue(core.takeOutputs().stream().noneMatch(o -> o instanceof Output.Send));
    }

    /** A message of another cluster changes nothing. */
    @Test
    public void messageOfAnotherClusterIsDropped() {
      ReplicaCore core = replica(2);
      core.receive(
          new ReplicaMessage(CLUSTER + 1, B, A, 9, new ReplicaMessage.Vote(9, 9, false)), LATER);
      assertEquals(core.term(), 2);
    }
  }

  /** Random orders of messages with losses, repeats, delays, kills, cuts and lost disks. */
  public static final class SeededTest {
    private static final int ROUNDS = 60;

    /** Seeds are fixed, so that the verdict is the same on every run. */
    @DataProvider
    public Object[][] seeds() {
      return new Object[][] {
        {101L, 3}, {102L, 3}, {103L, 3}, {104L, 3}, {105L, 3}, {106L, 3}, {107L, 3}, {108L, 3},
        {201L, 5}, {202L, 5}, {203L, 5}, {204L, 5}
      };
    }

    /**
     * The cluster checks one leader a term, accepted entries kept and one authority at each step.
     */
    @Test(dataProvider = "seeds")
    public void keepsItsPromises(long seed, int size) {
      String[] vms = List.of("a", "b", "c", "d", "e").subList(0, size).toArray(new String[0]);
      SteppedCluster cluster = new SteppedCluster(seed, vms);
      cluster.awaitLeader();
      Random random = new Random(seed);
      cluster.loss = 0.05;
      cluster.repeat = 0.05;
      cluster.maxDelay = 40_000_000;
      long ticket = 1;
      for (int round = 0; round < ROUNDS; round++) {
        fault(cluster, vms, random);
        for (int i = 0; i < 10; i++) {
          for (String vm : vms) {
            cluster.propose(vm, ticket++);
          }
          cluster.run(random.nextInt(60));
        }
      }
      cluster.loss = 0;
      cluster.heal();
      for (String vm : vms) {
        if (cluster.nodes.get(vm).core == null) {
          cluster.start(vm);
        }
      }
      cluster.run(10_000);
      SteppedCluster.Node leader = cluster.awaitLeader();
      long last = cluster.core(leader.vm).commit();
      assertTrue(last > ROUNDS, "seed " + seed + ": only " + last + " entries were accepted");
      for (String vm : vms) {
        assertTrue(
            cluster.core(vm).commit() >= last - 1, "seed " + seed + ": " + vm + " lags behind");
      }
    }

    private static void fault(SteppedCluster cluster, String[] vms, Random random) {
      cluster.heal();
      String vm = vms[random.nextInt(vms.length)];
      boolean runs = cluster.nodes.get(vm).core != null;
      switch (random.nextInt(6)) {
        case 0 -> cluster.kill(vm);
        case 1 -> cluster.isolate(vm);
        case 2 -> cluster.cut(vm, vms[random.nextInt(vms.length)]);
        case 3 -> {
          if (repairable(cluster, vms)) {
            cluster.wipe(vm);
            cluster.start(vm);
          }
        }
        default -> {
          for (String each : vms) {
            if (cluster.nodes.get(each).core == null) {
              cluster.start(each);
            }
          }
        }
      }
      if (!runs) {
        cluster.start(vm);
      }
    }

    /** A disk may be lost while all replicas vote and hold everything accepted. */
    private static boolean repairable(SteppedCluster cluster, String[] vms) {
      SteppedCluster.Node leader = cluster.leader();
      if (leader == null || leader.core == null) {
        return false;
      }
      ReplicaCore core = leader.core;
      for (String vm : vms) {
        ReplicaCore other = cluster.nodes.get(vm).core;
        if (other == null
            || !core.config().voters().contains(other.self())
            || other.lastIndex() < cluster.accepted.size()) {
          return false;
        }
      }
      return core.config().voters().size() == vms.length;
    }
  }
}
