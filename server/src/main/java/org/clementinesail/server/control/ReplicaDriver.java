package org.clementinesail.server.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.StateCodec;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Runs one replica on its own thread, from its files: passes inputs to it in batches, so that those
 * that wait share one disk sync.
 *
 * <p>After a failure, such as a full disk, and if the files cannot be opened at the start, the
 * replica is opened until that succeeds, as after a restart of the process. Meanwhile it refuses
 * all requests. Inputs beyond a limit are refused too, such as during a write that hangs.
 *
 * <pre>{@code
 * ReplicaDriver driver = new ReplicaDriver(() -> open(folder), network::send, listener);
 * driver.start();
 * driver.propose(command).thenAccept(result -> ...);
 * }</pre>
 */
public final class ReplicaDriver implements AutoCloseable {
  /** Longest wait for inputs before the core's timers are checked; inputs end the wait. */
  private static final long TICK_INTERVAL_MS = 30;

  private static final int MAX_BATCH_TASKS = 512;

  /** Pause before a failed replica is opened again; short against the time until it catches up. */
  private static final long REOPEN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Receives newly accepted state on the replica's thread; must not block. */
  @FunctionalInterface
  public interface StateListener {
    /**
     * Called after a majority has accepted a rule file.
     *
     * @param number number of the file
     */
    void rulesAccepted(long number);

    /**
     * Called after a version of the desired state has been accepted or read from the disk. Versions
     * that a newer one replaced in the same batch are skipped.
     *
     * @param document the newest version
     */
    default void desiredAccepted(DesiredDocument document) {}
  }

  private final ReplicaOpener opener;
  private final Consumer<ReplicaMessage> sender;
  private final StateListener listener;
  private final ReplicaInputs inputs = new ReplicaInputs();
  private final List<ReplicaTask> batch = new ArrayList<>();
  private final Thread thread;
  private Optional<DesiredDocument> notified = Optional.empty();
  private @Nullable Throwable failure;
  private String loggedReason = "";
  private volatile @Nullable ReplicaSession session;
  private volatile ReplicaStatus status = ReplicaStatus.NONE;
  private volatile @Nullable List<String> newSeeds;
  private volatile boolean stopping;
  private final CompletableFuture<Void> left = new CompletableFuture<>();

  /**
   * Creates a driver; {@link #start} opens and runs the replica.
   *
   * @param opener opens the files and creates the replica, at the start and after each failure
   * @param sender sends messages to other replicas; must not block
   * @param listener receives newly accepted state
   */
  public ReplicaDriver(
      ReplicaOpener opener, Consumer<ReplicaMessage> sender, StateListener listener) {
    this.opener = opener;
    this.sender = sender;
    this.listener = new NewestVersionListener(listener);
    this.thread = new Thread(this::run, "replica");
  }

  /** Starts the replica's thread, which opens the files. */
  public void start() {
    thread.start();
  }

  /** Returns the status after the last processed batch; may be called from any thread. */
  public ReplicaStatus status() {
    return status;
  }

  /** Returns the size of the inputs that wait for the replica, in bytes. */
  public long waitingBytes() {
    return inputs.bytes();
  }

  /**
   * Queues a message from another replica.
   *
   * @param message the message; dropped if too many inputs wait, and once the driver stops
   */
  public void receive(ReplicaMessage message) {
    submit(new MessageTask(message));
  }

  /**
   * Proposes a command.
   *
   * @param command the command to replicate
   * @return its result once a majority has accepted it; fails with {@link NotLeaderException} if
   *     this replica is not the leader, lost leadership before the command was accepted, has failed
   *     or has too many inputs that wait
   */
  public CompletableFuture<CommandResult> propose(Command command) {
    if (stopping) {
      return CompletableFuture.failedFuture(new NotLeaderException(""));
    }
    CompletableFuture<CommandResult> result = new CompletableFuture<>();
    byte[] bytes = StateCodec.encode(command).toByteArray();
    submit(new ReplicaTask.Request(result, open -> open.propose(result, bytes), bytes.length));
    return result;
  }

  /**
   * Runs a query on the current state after a majority has confirmed that this replica leads.
   *
   * @param query reads from the state; must not keep a reference to it
   * @param <T> type of the query's result
   * @return the query's result; fails with {@link NotLeaderException} if this replica is not the
   *     leader, has failed or has too many inputs that wait
   */
  public <T> CompletableFuture<T> read(Function<SystemState, T> query) {
    if (stopping) {
      return CompletableFuture.failedFuture(new NotLeaderException(""));
    }
    CompletableFuture<Object> result = new CompletableFuture<>();
    submit(new ReplicaTask.Request(result, open -> open.read(query, result), 0));
    @SuppressWarnings("unchecked")
    CompletableFuture<T> typed = (CompletableFuture<T>) result;
    return typed;
  }

  /**
   * Replaces the seeds: the VMs that this replica contacts until it belongs to a cluster.
   *
   * @param vms names of the VMs
   */
  public void replaceSeeds(List<String> vms) {
    newSeeds = List.copyOf(vms);
  }

  /** Transfers leadership to another replica if this one leads. */
  public void transferLeadership() {
    submit((open, now) -> open.core().transferLeadership(now));
  }

  /**
   * Prepares a planned stop: transfers leadership, and leaves the voters where the others tolerate
   * as many losses without this replica.
   *
   * @return completed once the others do not wait for this replica; never if no leader is reached
   */
  public CompletableFuture<Void> leave() {
    submit((open, now) -> open.core().leave(now));
    return left;
  }

  @Override
  public void close() {
    stopping = true;
    thread.interrupt();
    try {
      thread.join(TimeUnit.SECONDS.toMillis(5));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    ReplicaSession open = session;
    if (open != null) {
      open.close();
    }
  }

  /** Message from another replica. */
  private record MessageTask(ReplicaMessage message) implements ReplicaTask {
    @Override
    public void run(ReplicaSession open, long now) {
      open.core().receive(message, now);
    }

    @Override
    public long bytes() {
      return message.body().payloadBytes();
    }
  }

  /** Passes a version on only once, although it is read again after each failure. */
  private final class NewestVersionListener implements StateListener {
    private final StateListener receiver;

    NewestVersionListener(StateListener receiver) {
      this.receiver = receiver;
    }

    @Override
    public void rulesAccepted(long number) {
      receiver.rulesAccepted(number);
    }

    @Override
    public void desiredAccepted(DesiredDocument document) {
      if (document.replaces(notified)) {
        receiver.desiredAccepted(document);
        notified = Optional.of(document);
      }
    }
  }

  private void submit(ReplicaTask task) {
    if (!stopping) {
      inputs.offer(task);
    }
  }

  private void run() {
    try {
      while (!stopping) {
        runUntilFailure();
      }
    } catch (InterruptedException e) {
      Logger.debug("replica thread stopped");
    }
  }

  /**
   * Opens the replica and runs it until it fails. No failure ends the thread, not even an error of
   * memory, because nobody else opens the replica again; the next round handles it, so that a
   * second failure meanwhile does not end the thread either.
   */
  private void runUntilFailure() throws InterruptedException {
    try {
      Throwable cause = failure;
      if (cause != null) {
        recover(cause);
      }
      ReplicaSession open = openSession();
      while (!stopping) {
        processBatch(open);
      }
    } catch (StorageException | RuntimeException | Error e) {
      failure = e;
    }
  }

  private ReplicaSession openSession() throws StorageException {
    ReplicaOpener.OpenReplica opened = failure == null ? opener.open() : opener.reopen();
    ReplicaSession open = new ReplicaSession(opened, sender, listener);
    session = open;
    if (failure != null) {
      Logger.info("replica is open again, last entry {}", opened.core().lastIndex());
    }
    failure = null;
    loggedReason = "";
    return open;
  }

  private void processBatch(ReplicaSession open) throws InterruptedException, StorageException {
    ReplicaTask first = inputs.poll(TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    if (first != null) {
      batch.add(first);
      inputs.drainTo(batch, MAX_BATCH_TASKS);
    }
    List<String> seeds = newSeeds;
    if (seeds != null) {
      open.core().replaceSeeds(seeds);
    }
    long now = System.nanoTime();
    open.process(batch, now);
    status = open.status(now);
    if (open.core().hasLeft()) {
      left.complete(null);
    }
    open.notifyAccepted();
    batch.clear();
    open.compactIfDue();
  }

  /** Rejects all requests, and those that arrive until the replica is to be opened again. */
  private void recover(Throwable cause) throws InterruptedException {
    endSession();
    logFailure(cause);
    long deadline = System.nanoTime() + REOPEN_DELAY_NANOS;
    for (long left = REOPEN_DELAY_NANOS; left > 0; left = deadline - System.nanoTime()) {
      ReplicaTask task = inputs.poll(left, TimeUnit.NANOSECONDS);
      if (task != null) {
        task.reject();
      }
    }
  }

  private void endSession() {
    ReplicaSession ended = session;
    session = null;
    status =
        ended == null
            ? ReplicaStatus.failed(status.term(), status.commitIndex())
            : ReplicaStatus.failed(ended.core().term(), ended.core().commitIndex());
    if (ended != null) {
      try (ended) {
        ended.fail();
      } catch (RuntimeException | Error e) {
        Logger.error(e, "listener failed beside the replica: {}", e.getMessage());
      }
    }
    batch.forEach(ReplicaTask::reject);
    batch.clear();
  }

  /** Logs each reason once, not at each attempt to open the replica. */
  private void logFailure(Throwable cause) {
    String reason = String.valueOf(cause.getMessage());
    if (!reason.equals(loggedReason)) {
      loggedReason = reason;
      Logger.error(cause, "replica failed and will be opened again: {}", reason);
    }
  }
}
