package org.clementinesail.server.control;

import static org.testng.Assert.expectThrows;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.clementinesail.core.replication.Membership;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaConfig;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.replication.Snapshot;
import org.clementinesail.core.replication.Timing;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.StateCodec;
import org.testng.annotations.Test;

/** Tests requests of a former leader whose log a snapshot of its successor replaces. */
public final class ReplacedLogTest {
  private static final ReplicaId B = new ReplicaId("b", 2);
  private static final ReplicaId C = new ReplicaId("c", 3);
  private static final long CLUSTER_ID = 5;
  private static final long TIMEOUT_S = 20;

  /** Long enough that the test's leader keeps its role until a message of a later term. */
  private static final Timing TIMING =
      new Timing(
          TimeUnit.SECONDS.toNanos(10),
          TimeUnit.SECONDS.toNanos(60),
          TimeUnit.SECONDS.toNanos(90),
          10);

  /** A version that the successor's snapshot covers does not stay unanswered. */
  @Test
  public void versionCoveredBySnapshotIsAnswered() throws Exception {
    Path folder = Files.createTempDirectory("replica");
    ReplicaId self;
    try (ReplicaStore store = ReplicaStore.open(folder)) {
      self = new ReplicaId("a", store.diskId());
      store.save(List.of(new Output.SaveSnapshot(CLUSTER_ID, snapshot(self, 0, 0))));
    }
    try (ReplicaDriver driver =
        new ReplicaDriver(() -> open(folder), message -> {}, number -> {})) {
      driver.start();
      awaitRole(driver, "follower");
      driver.receive(new ReplicaMessage(CLUSTER_ID, B, self, 0, new ReplicaMessage.TakeOver()));
      driver.receive(
          new ReplicaMessage(CLUSTER_ID, B, self, 1, new ReplicaMessage.VoteReply(true)));
      awaitRole(driver, "leader");
      CompletableFuture<CommandResult> result =
          driver.propose(new Command.PutDesired(new DesiredDocument(1, new byte[1])));
      driver.receive(
          new ReplicaMessage(
              CLUSTER_ID, B, self, 2, new ReplicaMessage.InstallSnapshot(snapshot(self, 9, 2), 1)));
      expectThrows(ExecutionException.class, () -> result.get(TIMEOUT_S, TimeUnit.SECONDS));
    } finally {
      MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
    }
  }

  private static ReplicaOpener.OpenReplica open(Path folder) throws StorageException {
    return ReplicaOpener.OpenReplica.create(
        ReplicaStore.open(folder),
        store ->
            new ReplicaCore(
                new ReplicaId("a", store.diskId()),
                Membership.fixed(List.of("a", "b", "c")),
                store.loadedState(),
                TIMING,
                new Random(1),
                System.nanoTime()));
  }

  private static Snapshot snapshot(ReplicaId self, long index, long term) {
    return new Snapshot(
        index,
        term,
        new ReplicaConfig(List.of(self, B, C), List.of()),
        StateCodec.encode(SystemState.empty().contents()));
  }

  private static void awaitRole(ReplicaDriver driver, String role) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!driver.status().role().equals(role)) {
      if (System.nanoTime() - deadline > 0) {
        throw new TimeoutException("the replica is " + driver.status().role());
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }
}
