package org.clementinesail.server.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Membership;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.replication.Timing;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that no failure that passes ends a replica, and that requests are answered meanwhile. */
public final class ReplicaRecoveryTest {
  private static final Timing TIMING =
      new Timing(
          TimeUnit.MILLISECONDS.toNanos(50),
          TimeUnit.MILLISECONDS.toNanos(300),
          TimeUnit.MILLISECONDS.toNanos(600),
          10);
  private static final long TIMEOUT_S = 20;

  /** A sole replica whose files and listener can be made to fail or to wait. */
  public abstract static class SoleReplica {
    final AtomicInteger failedOpens = new AtomicInteger();
    final AtomicReference<Runnable> onAccepted = new AtomicReference<>(() -> {});
    private Path folder = Path.of(".");
    private @Nullable ReplicaDriver driver;

    /** Creates a new folder. */
    @BeforeMethod
    public void createFolder() throws IOException {
      failedOpens.set(0);
      onAccepted.set(() -> {});
      folder = Files.createTempDirectory("replica");
    }

    /** Stops the replica and deletes its folder. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
      if (driver != null) {
        driver.close();
      }
      MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
    }

    final ReplicaDriver startDriver() throws StorageException {
      ReplicaDriver.StateListener listener =
          new ReplicaDriver.StateListener() {
            @Override
            public void rulesAccepted(long number) {}

            @Override
            public void desiredAccepted(DesiredDocument document) {
              onAccepted.getAndSet(() -> {}).run();
            }
          };
      ReplicaDriver started = new ReplicaDriver(this::openReplica, message -> {}, listener);
      driver = started;
      started.start();
      return started;
    }

    private ReplicaOpener.OpenReplica openReplica() throws StorageException {
      if (failedOpens.getAndDecrement() > 0) {
        throw new StorageException(folder, "No space left on device", null);
      }
      ReplicaStore store = ReplicaStore.open(folder);
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

    final CompletableFuture<CommandResult> propose(long version, int bytes) {
      return Objects.requireNonNull(driver)
          .propose(new Command.PutDesired(new DesiredDocument(version, new byte[bytes])));
    }

    /** Proposes a version until it is accepted, as operators do. */
    final void proposeUntilAccepted(long version) throws Exception {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
      while (System.nanoTime() - deadline < 0) {
        try {
          propose(version, 1).get(2, TimeUnit.SECONDS);
          return;
        } catch (ExecutionException | TimeoutException e) {
          TimeUnit.MILLISECONDS.sleep(20);
        }
      }
      throw new TimeoutException("version " + version + " was not accepted in time");
    }

    /** Makes the replica's thread wait, as in a write that hangs, until the latch is released. */
    final CountDownLatch hang() throws Exception {
      CountDownLatch waiting = new CountDownLatch(1);
      CountDownLatch released = new CountDownLatch(1);
      onAccepted.set(
          () -> {
            waiting.countDown();
            awaitUninterruptibly(released);
          });
      CompletableFuture<CommandResult> unused = propose(1_000, 1);
      assertTrue(waiting.await(TIMEOUT_S, TimeUnit.SECONDS), "the replica does not wait");
      return released;
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
      try {
        latch.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Failures at the start and while the replica runs. */
  public static final class PassingFailureTest extends SoleReplica {
    /** A disk that is full at the first start does not end the process. */
    @Test
    public void diskFullAtFirstStartPasses() throws Exception {
      failedOpens.set(2);
      startDriver();
      CompletableFuture<CommandResult> early = propose(1, 1);
      expectThrows(ExecutionException.class, () -> early.get(TIMEOUT_S, TimeUnit.SECONDS));
      proposeUntilAccepted(2);
    }

    /** The replica's thread does not end with an error such as one of memory. */
    @Test
    public void errorOnReplicaThreadPasses() throws Exception {
      startDriver();
      proposeUntilAccepted(1);
      onAccepted.set(
          () -> {
            throw new OutOfMemoryError("thrown by the test");
          });
      proposeUntilAccepted(2);
      proposeUntilAccepted(3);
    }

    /** A second failure while the replica recovers from the first does not end its thread. */
    @Test
    public void failureDuringRecoveryPasses() throws Exception {
      startDriver();
      proposeUntilAccepted(1);
      onAccepted.set(
          () -> {
            onAccepted.set(
                () -> {
                  throw new IllegalStateException("second failure, thrown by the test");
                });
            throw new IllegalStateException("first failure, thrown by the test");
          });
      proposeUntilAccepted(2);
      proposeUntilAccepted(3);
    }
  }

  /** Inputs that wait while the replica's thread does. */
  public static final class WaitingInputTest extends SoleReplica {
    private static final int VERSION_BYTES = 1_000_000;
    private static final int VERSIONS = 100;
    private static final long MAX_WAITING = 32;

    /** Requests beside an input that fails are answered. */
    @Test
    public void requestBesideFailedInputIsAnswered() throws Exception {
      ReplicaDriver replica = startDriver();
      proposeUntilAccepted(1);
      CountDownLatch released = hang();
      replica.receive(malformedMessage());
      CompletableFuture<CommandResult> beside = propose(1_001, 1);
      released.countDown();
      expectThrows(ExecutionException.class, () -> beside.get(TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Versions that operators send while a write hangs do not fill the memory. */
    @Test
    public void versionsDuringHangingWriteAreBounded() throws Exception {
      startDriver();
      proposeUntilAccepted(1);
      CountDownLatch released = hang();
      List<CompletableFuture<CommandResult>> results = new ArrayList<>();
      for (int i = 0; i < VERSIONS; i++) {
        results.add(propose(2_000 + i, VERSION_BYTES));
      }
      long waiting = results.stream().filter(result -> !result.isDone()).count();
      released.countDown();
      assertTrue(waiting <= MAX_WAITING, waiting + " versions of 1 MB wait");
      assertTrue(waiting > 0, "versions are refused although there is room");
      for (CompletableFuture<CommandResult> result : results) {
        result.handle((accepted, failure) -> "answered").get(TIMEOUT_S, TimeUnit.SECONDS);
      }
      proposeUntilAccepted(3_000);
    }

    /** Entries that a leader sends while a write hangs do not fill the memory. */
    @Test
    public void entriesDuringHangingWriteAreBounded() throws Exception {
      ReplicaDriver replica = startDriver();
      proposeUntilAccepted(1);
      CountDownLatch released = hang();
      for (int i = 0; i < VERSIONS; i++) {
        replica.receive(
            message(
                new ReplicaMessage.Append(
                    9_000 + i,
                    9,
                    List.of(
                        new LogEntry(9_001 + i, 9, new LogEntry.Command(new byte[VERSION_BYTES]))),
                    0,
                    i)));
      }
      long waiting = replica.waitingBytes();
      released.countDown();
      assertTrue(waiting <= MAX_WAITING * VERSION_BYTES, waiting + " bytes wait");
      proposeUntilAccepted(3_000);
      assertEquals(replica.waitingBytes(), 0);
    }

    @SuppressWarnings("NullAway") // the test needs a message that cannot be processed
    private static ReplicaMessage malformedMessage() {
      return new ReplicaMessage(0, new ReplicaId("b", 2), null, 1, new ReplicaMessage.TakeOver());
    }

    private static ReplicaMessage message(ReplicaMessage.Body body) {
      return new ReplicaMessage(0, new ReplicaId("b", 2), new ReplicaId("a", 0), 1, body);
    }
  }
}
