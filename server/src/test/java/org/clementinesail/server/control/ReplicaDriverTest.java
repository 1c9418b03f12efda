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
  private static final long WAIT_S = 60;

  /** What the listener heard, and whether the replica said that it leads at that moment. */
  private record Heard(long version, boolean led) {}

  private final BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
  private Path folder;
  private ReplicaDriver driver;

  /** Creates the folder of a replica that is alone. */
  @BeforeMethod
  public void start() throws IOException, StorageException {
    heard.clear();
    folder = Files.createTempDirectory("replica");
    open();
  }

  /** Deletes the folder. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    driver.close();
    MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  private void open() throws StorageException {
    ReplicaStore store = ReplicaStore.open(folder);
    ReplicaCore core =
        new ReplicaCore(
            new ReplicaId("a", store.disk()),
            Membership.fixed(List.of("a")),
            store.loaded(),
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
                    && status.authorityDeadline() - System.nanoTime() > 0;
            heard.add(new Heard(document.version(), led));
          }
        };
    driver = new ReplicaDriver(core, store, message -> {}, listener);
    driver.start();
  }

  /** Proposes a version until this replica leads. */
  private void put(long version) throws Exception {
    Command command = new Command.PutDesired(new DesiredDocument(version, new byte[] {1}));
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    while (!driver.status().role().equals("leader")) {
      if (System.nanoTime() - deadline > 0) {
        throw new TimeoutException("the replica does not lead");
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
    driver.propose(command).get(WAIT_S, TimeUnit.SECONDS);
  }

  /** A restarted replica tells of its newest version only, and at a time when it may act on it. */
  @Test
  public void restartTellsOfTheNewestVersionOnce() throws Exception {
    for (long version = 1; version <= 20; version++) {
      put(version);
    }
    driver.close();
    heard.clear();
    open();
    assertEquals(heard.poll(WAIT_S, TimeUnit.SECONDS), new Heard(20, true));
    put(21);
    assertEquals(heard.poll(WAIT_S, TimeUnit.SECONDS), new Heard(21, true));
  }

  /** Who acts on a version hears of it before its proposer does. */
  @Test
  public void listenerHearsBeforeTheProposer() throws Exception {
    for (long version = 1; version <= 20; version++) {
      put(version);
      Heard first = heard.poll();
      assertTrue(first != null && first.version() == version, "heard " + first);
    }
  }
}
