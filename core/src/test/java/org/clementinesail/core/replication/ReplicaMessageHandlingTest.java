package org.clementinesail.core.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests how a replica handles single messages. */
public final class ReplicaMessageHandlingTest {
  private static final ReplicaId A = new ReplicaId("a", 1);
  private static final ReplicaId B = new ReplicaId("b", 1);
  private static final ReplicaId C = new ReplicaId("c", 1);
  private static final ReplicaConfig ABC = new ReplicaConfig(List.of(A, B, C), List.of());
  private static final long CLUSTER_ID = 5;
  // 10 s after the start, when the lease that a restarted replica honours has ended.
  private static final long RECEIVE_TIME_NANOS = 10_000_000_000L;

  private static ReplicaCore replica(long term, LogEntry... entries) {
    StoredState stored =
        new StoredState(
            CLUSTER_ID, term, null, new Snapshot(0, 0, ABC, new byte[0]), List.of(entries));
    return new ReplicaCore(
        A,
        Membership.fixed(List.of("a", "b", "c")),
        stored,
        SimulatedCluster.TIMING,
        new Random(1),
        0);
  }

  private static LogEntry noOp(long index, long term) {
    return new LogEntry(index, term, new LogEntry.NoOp());
  }

  private static void receive(
      ReplicaCore core, ReplicaId from, long term, ReplicaMessage.Body body) {
    core.receive(new ReplicaMessage(CLUSTER_ID, from, A, term, body), RECEIVE_TIME_NANOS);
  }

  private static boolean granted(ReplicaCore core) {
    return core.takeOutputs().stream()
        .anyMatch(
            o ->
                o instanceof Output.Send s
                    && s.message().body() instanceof ReplicaMessage.VoteReply reply
                    && reply.granted());
  }

  /** Returns a replica that has just become a candidate in the term after the given one. */
  private static ReplicaCore candidate(long term, LogEntry... entries) {
    ReplicaCore core = replica(term, entries);
    receive(core, B, term, new ReplicaMessage.TakeOver());
    core.takeOutputs();
    return core;
  }

  /**
   * A candidate with an older or shorter log gets no vote, whatever its term; an equal log is
   * enough.
   */
  @Test
  public void candidateWithOlderLogGetsNoVote() {
    ReplicaCore core = replica(2, noOp(1, 1), noOp(2, 2));
    receive(core, B, 3, new ReplicaMessage.Vote(1, 1, false));
    assertFalse(granted(core), "shorter log");
    receive(core, B, 4, new ReplicaMessage.Vote(9, 1, false));
    assertFalse(granted(core), "longer log of an older term");
    receive(core, B, 5, new ReplicaMessage.Vote(2, 2, false));
    assertTrue(granted(core), "equal log");
  }

  /** A replica that voted for a candidate refuses its vote to another one in the same term. */
  @Test
  public void votesOncePerTerm() {
    ReplicaCore core = replica(2);
    receive(core, B, 3, new ReplicaMessage.Vote(0, 0, false));
    assertTrue(granted(core));
    receive(core, C, 3, new ReplicaMessage.Vote(0, 0, false));
    assertFalse(granted(core));
  }

  /** An entry of an earlier term is committed only with one of the leader's own term. */
  @Test
  public void entryOfEarlierTermIsNotCommittedByCounting() {
    ReplicaCore core = candidate(2, noOp(1, 1), noOp(2, 2));
    receive(core, B, 3, new ReplicaMessage.VoteReply(true));
    assertEquals(core.role(), Role.LEADER);
    receive(core, B, 3, new ReplicaMessage.AppendReply(true, 2, 1));
    assertEquals(core.commitIndex(), 0);
    receive(core, B, 3, new ReplicaMessage.AppendReply(true, 3, 1));
    assertEquals(core.commitIndex(), 3);
  }

  /** The vote of a replica that is not a voter is ignored, as from a new disk on a voter's VM. */
  @Test
  public void voteFromUnknownDiskIsIgnored() {
    ReplicaCore core = candidate(2);
    receive(core, new ReplicaId("b", 99), 3, new ReplicaMessage.VoteReply(true));
    assertEquals(core.role(), Role.CANDIDATE);
  }

  /** A message to the lost disk of a VM is not handled by the replica on its new disk. */
  @Test
  public void messageToLostDiskIsDropped() {
    ReplicaCore core = replica(2);
    ReplicaId lost = new ReplicaId("a", 77);
    core.receive(
        new ReplicaMessage(CLUSTER_ID, B, lost, 9, new ReplicaMessage.Vote(9, 9, false)),
        RECEIVE_TIME_NANOS);
    assertTrue(core.takeOutputs().stream().noneMatch(o -> o instanceof Output.Send));
  }

  /** A message from another cluster is dropped. */
  @Test
  public void messageFromOtherClusterIsDropped() {
    ReplicaCore core = replica(2);
    core.receive(
        new ReplicaMessage(CLUSTER_ID + 1, B, A, 9, new ReplicaMessage.Vote(9, 9, false)),
        RECEIVE_TIME_NANOS);
    assertEquals(core.term(), 2);
  }
}
