package org.clementinesail.core.replication;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that large entries fill neither the frames to other replicas nor the memory. */
public final class LargeEntryTest {
  private static final ReplicaId A = new ReplicaId("a", 1);
  private static final ReplicaId B = new ReplicaId("b", 1);
  private static final ReplicaId C = new ReplicaId("c", 1);
  private static final ReplicaConfig ABC = new ReplicaConfig(List.of(A, B, C), List.of());
  private static final long CLUSTER_ID = 5;
  private static final long NOW = 10_000_000_000L;
  private static final int ENTRIES = 200;
  private static final byte[] LARGE = new byte[1_000_000];

  /** Largest sum of entries in a frame, far below the 64 MiB that the network accepts. */
  private static final long MAX_SENT_BYTES = 8_000_000;

  /** Returns the leader of term 1, whose log holds large entries that nobody else has. */
  private static ReplicaCore leaderOfLargeEntries() {
    StoredState stored =
        new StoredState(CLUSTER_ID, 0, null, new Snapshot(0, 0, ABC, new byte[0]), List.of());
    ReplicaCore core =
        new ReplicaCore(
            A,
            Membership.fixed(List.of("a", "b", "c")),
            stored,
            SimulatedCluster.TIMING,
            new Random(1),
            0);
    receive(core, B, 0, new ReplicaMessage.TakeOver());
    receive(core, B, 1, new ReplicaMessage.VoteReply(true));
    for (int i = 0; i < ENTRIES; i++) {
      core.propose(i, LARGE);
    }
    return core;
  }

  private static void receive(
      ReplicaCore core, ReplicaId from, long term, ReplicaMessage.Body body) {
    core.receive(new ReplicaMessage(CLUSTER_ID, from, A, term, body), NOW);
  }

  private static List<ReplicaMessage> sentTo(ReplicaCore core, ReplicaId to) {
    core.flush(NOW);
    return core.takeOutputs().stream()
        .filter(Output.Send.class::isInstance)
        .map(output -> ((Output.Send) output).message())
        .filter(message -> message.to().equals(to))
        .toList();
  }

  private static long entryBytes(ReplicaMessage message) {
    long bytes = 0;
    if (message.body() instanceof ReplicaMessage.Append append) {
      for (LogEntry entry : append.entries()) {
        bytes += entry.payload() instanceof LogEntry.Command c ? c.bytes().length : 0;
      }
    }
    return bytes;
  }

  /** A VM that missed large versions gets them in frames that the network accepts. */
  @Test
  public void missedLargeEntriesFitIntoFrames() {
    ReplicaCore core = leaderOfLargeEntries();
    core.takeOutputs();
    receive(core, C, 1, new ReplicaMessage.AppendReply(false, 0, 1));
    long sent = sentTo(core, C).stream().mapToLong(LargeEntryTest::entryBytes).max().orElse(0);
    assertTrue(sent > 0, "nothing was sent");
    assertTrue(sent <= MAX_SENT_BYTES, sent + " bytes in one frame");
  }

  /** Large entries that a snapshot covers are not kept in memory for VMs that missed them. */
  @Test
  public void largeEntriesBeforeSnapshotAreNotKept() {
    ReplicaCore core = leaderOfLargeEntries();
    core.flush(NOW);
    core.takeOutputs();
    receive(core, B, 1, new ReplicaMessage.AppendReply(true, core.lastIndex(), 1));
    core.compact(core.commitIndex(), LARGE);
    core.takeOutputs();
    receive(core, C, 1, new ReplicaMessage.AppendReply(false, core.lastIndex() - 50, 1));
    List<ReplicaMessage> sent = sentTo(core, C);
    assertTrue(
        sent.stream().anyMatch(m -> m.body() instanceof ReplicaMessage.InstallSnapshot),
        "kept entries were sent instead of the snapshot: "
            + sent.stream().mapToLong(LargeEntryTest::entryBytes).sum());
  }
}
