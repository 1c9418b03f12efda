package org.clementinesail.server.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.clementinesail.core.replication.Membership;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Timing;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which versions a replica reports to its listener and proposers, and in which order. */
public final class ReplicaDriverTest {
  private static final Timing TIMING =
      new Timing(
          TimeUnit.MILLISECONDS.toNanos(50),
          TimeUnit.MILLISECONDS.toNanos(300),
          TimeUnit.MILLISECONDS.toNanos(600),
          10);
  private static final long TIMEOUT_S = 60;

  /** Version that the listener received, and whether the replica's status showed a valid lease. */
  private record Notification(long version, boolean leading) {}

  private final BlockingQueue<Notification> notifications = new LinkedBlockingQueue<>();
  private Path folder;
  private ReplicaDriver driver;
  private ReplicaStore openStore;
  private int failedOpens;

  /** Starts the only replica of a cluster in a new folder. */
  @BeforeMethod
  public void start() throws IOException {
    notifications.clear();
    failedOpens = 0;
    folder = Files.createTempDirectory("replica");
    startDriver();
  }

  /** Stops the replica and deletes its folder. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    driver.close();
    MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  private void startDriver() {
    ReplicaDriver.StateListener listener =
        new ReplicaDriver.StateListener() {
          @Override
          public void rulesAccepted(long number) {}

          @Override
          public void desiredAccepted(DesiredDocument document) {
            ReplicaStatus status = driver.status();
            boolean leading =
                status.role().equals("leader")
                    && status.leaseDeadlineNanos() - System.nanoTime() > 0;
            notifications.add(new Notification(document.version(), leading));
          }
        };
    driver = new ReplicaDriver(this::openReplica, message -> {}, listener);
    driver.start();
  }

  private ReplicaOpener.OpenReplica openReplica() throws StorageException {
    if (failedOpens > 0) {
      failedOpens--;
      throw new StorageException(folder, "No space left on device", null);
    }
    ReplicaStore store = ReplicaStore.open(folder);
    openStore = store;
    ReplicaCore core =
        new ReplicaCore(
            new ReplicaId("a", store.diskId()),
            Membership.fixed(List.of("a")),
            store.loadedState(),
            TIMING,
            new Random(1),
            System.nanoTime());
    return new ReplicaOpener.OpenReplica(core, store);
  }

  /** Proposes a version once this replica leads. */
  private void proposeVersion(long version) throws Exception {
    Command command = new Command.PutDesired(new DesiredDocument(version, new byte[] {1}));
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!driver.status().role().equals("leader")) {
      if (System.nanoTime() - deadline > 0) {
        throw new TimeoutException("the replica did not become leader in time");
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
    driver.propose(command).get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /**
   * A restarted replica replays all versions of its log. It reports the newest one only, and not
   * before it leads and may act on it.
   */
  @Test
  public void restartNotifiesOfNewestVersionOnly() throws Exception {
    for (long version = 1; version <= 20; version++) {
      proposeVersion(version);
    }
    driver.close();
    notifications.clear();
    startDriver();
    assertEquals(notifications.poll(TIMEOUT_S, TimeUnit.SECONDS), new Notification(20, true));
    proposeVersion(21);
    assertEquals(notifications.poll(TIMEOUT_S, TimeUnit.SECONDS), new Notification(21, true));
  }

  /** The listener, which acts on a version, is notified before the proposer gets its result. */
  @Test
  public void listenerIsNotifiedBeforeProposer() throws Exception {
    for (long version = 1; version <= 20; version++) {
      proposeVersion(version);
      Notification first = notifications.poll();
      assertTrue(first != null && first.version() == version, "notified of " + first);
    }
  }

  /** A replica whose disk refuses writes for a time works again without a restart. */
  @Test
  public void replicaIsBackAfterDiskFailure() throws Exception {
    proposeVersion(1);
    failedOpens = 2;
    openStore.close();
    Command lost = new Command.PutDesired(new DesiredDocument(2, new byte[] {1}));
    CompletableFuture<CommandResult> result = driver.propose(lost);
    expectThrows(ExecutionException.class, () -> result.get(TIMEOUT_S, TimeUnit.SECONDS));
    CompletableFuture<CommandResult> refused = driver.propose(lost);
    expectThrows(ExecutionException.class, () -> refused.get(TIMEOUT_S, TimeUnit.SECONDS));
    proposeVersion(3);
    assertEquals(
        driver.read(state -> state.desiredDocument().orElseThrow().version()).get(),
        Long.valueOf(3));
  }
}
