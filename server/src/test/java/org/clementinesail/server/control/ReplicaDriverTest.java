package org.clementinesail.server.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.clementinesail.core.replication.Membership;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Timing;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a replica's listener and proposers hear, and in which order. */
public final class ReplicaDriverTest {
  private static final Timing TIMING =
      new Timing(
          TimeUnit.MILLISECONDS.toNanos(50),
          TimeUnit.MILLISECONDS.toNanos(300),
          TimeUnit.MILLISECONDS.toNanos(600),
          10);
  private static final long TIMEOUT_S = 60;

  /** What the listener heard, and whether the replica said that it leads at that moment. */
  private record Notification(long version, boolean leading) {}

  private final BlockingQueue<Notification> notifications = new LinkedBlockingQueue<>();
  private Path folder;
  private ReplicaDriver driver;

  /** Creates the folder of a replica that is alone. */
  @BeforeMethod
  public void start() throws IOException, StorageException {
    notifications.clear();
    folder = Files.createTempDirectory("replica");
    startDriver();
  }

  /** Deletes the folder. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    driver.close();
    MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  private void startDriver() throws StorageException {
    ReplicaStore store = ReplicaStore.open(folder);
    ReplicaCore core =
        new ReplicaCore(
            new ReplicaId("a", store.diskId()),
            Membership.fixed(List.of("a")),
            store.loadedState(),
            TIMING,
            new Random(1),
            System.nanoTime());
    ReplicaDriver.StateListener listener =
        new ReplicaDriver.StateListener() {
          @Override
          public void rulesAccepted(long number) {}

          @Override
          public void desiredAccepted(DesiredDocument document) {
            ReplicaStatus status = driver.status();
            boolean led =
                status.role().equals("leader")
                    && status.leaseDeadlineNanos() - System.nanoTime() > 0;
            notifications.add(new Notification(document.version(), led));
          }
        };
    driver = new ReplicaDriver(core, store, message -> {}, listener);
    driver.start();
  }

  /** Proposes a version until this replica leads. */
  private void proposeVersion(long version) throws Exception {
    Command command = new Command.PutDesired(new DesiredDocument(version, new byte[] {1}));
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!driver.status().role().equals("leader")) {
      if (System.nanoTime() - deadline > 0) {
        throw new TimeoutException("the replica does not lead");
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
    driver.propose(command).get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** A restarted replica tells of its newest version only, and at a time when it may act on it. */
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

  /** Who acts on a version hears of it before its proposer does. */
  @Test
  public void listenerIsNotifiedBeforeProposer() throws Exception {
    for (long version = 1; version <= 20; version++) {
      proposeVersion(version);
      Notification first = notifications.poll();
      assertTrue(first != null && first.version() == version, "heard " + first);
    }
  }
}
