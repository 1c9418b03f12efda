package org.clementinesail.server.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.replication.Snapshot;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.StateCodec;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Runs one replica on its own thread: passes inputs to the {@link ReplicaCore}, then saves state,
 * sends messages and applies entries as the core's outputs say.
 *
 * <p>Inputs that wait are processed as one batch, so that they share one disk sync.
 *
 * <p>After a failure, such as a full disk, the replica is opened again from its files until that
 * succeeds, as after a restart of the process. Meanwhile it answers nothing.
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

  /** Entries applied since the last snapshot before the next; bounds log size and restart time. */
  private static final long ENTRIES_PER_SNAPSHOT = 1_000;

  /** Bytes of commands applied since the last snapshot before the next, for the same reason. */
  private static final long COMMAND_BYTES_PER_SNAPSHOT = 2_000_000;

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

  /** Input that the replica's thread processes. */
  private interface Task {
    void run(long now);

    /** Called instead of {@link #run} while the replica is not open. */
    default void reject() {}
  }

  /** Request whose result a caller waits for. */
  private record RequestTask(CompletableFuture<?> result, Runnable action) implements Task {
    @Override
    public void run(long now) {
      action.run();
    }

    @Override
    public void reject() {
      result.completeExceptionally(new NotLeaderException(""));
    }
  }

  private final ReplicaOpener opener;
  private final Consumer<ReplicaMessage> sender;
  private final StateListener listener;
  private final BlockingQueue<Task> tasks = new LinkedBlockingQueue<>();
  private final PendingRequests requests = new PendingRequests();
  private final Thread thread;
  private ReplicaCore core;
  private ReplicaStore store;
  private SystemState state = SystemState.empty();
  private long appliedIndex;
  private long bytesSinceSnapshot;
  private long notifiedVersion;
  private final List<Runnable> completions = new ArrayList<>();
  private volatile ReplicaStatus status = ReplicaStatus.NONE;
  private volatile @Nullable List<String> newSeeds;
  private volatile boolean stopping;

  /**
   * Opens a replica; {@link #start} runs it.
   *
   * @param opener opens the files and creates the replica, now and after each failure
   * @param sender sends messages to other replicas; must not block
   * @param listener receives newly accepted state
   * @throws StorageException if the files cannot be opened now
   */
  public ReplicaDriver(
      ReplicaOpener opener, Consumer<ReplicaMessage> sender, StateListener listener)
      throws StorageException {
    this.opener = opener;
    ReplicaOpener.OpenReplica opened = opener.open();
    this.core = opened.core();
    this.store = opened.store();
    this.sender = sender;
    this.listener = listener;
    this.thread = new Thread(this::run, "replica");
  }

  /** Starts the replica's thread. */
  public void start() {
    thread.start();
  }

  /** Returns the status after the last processed batch; may be called from any thread. */
  public ReplicaStatus status() {
    return status;
  }

  /**
   * Queues a message from another replica.
   *
   * @param message the message; dropped once the driver stops
   */
  public void receive(ReplicaMessage message) {
    submit(now -> core.receive(message, now));
  }

  /**
   * Proposes a command.
   *
   * @param command the command to replicate
   * @return its result once a majority has accepted it; fails with {@link NotLeaderException} if
   *     this replica is not the leader or lost leadership before the command was accepted
   */
  public CompletableFuture<CommandResult> propose(Command command) {
    if (stopping) {
      return CompletableFuture.failedFuture(new NotLeaderException(""));
    }
    CompletableFuture<CommandResult> result = new CompletableFuture<>();
    byte[] bytes = StateCodec.encode(command).toByteArray();
    submit(new RequestTask(result, () -> core.propose(requests.addProposal(result), bytes)));
    return result;
  }

  /**
   * Runs a query on the current state after a majority has confirmed that this replica leads.
   *
   * @param query reads from the state; must not keep a reference to it
   * @param <T> type of the query's result
   * @return the query's result; fails with {@link NotLeaderException} if this replica is not the
   *     leader
   */
  public <T> CompletableFuture<T> read(Function<SystemState, T> query) {
    if (stopping) {
      return CompletableFuture.failedFuture(new NotLeaderException(""));
    }
    CompletableFuture<Object> result = new CompletableFuture<>();
    submit(new RequestTask(result, () -> core.read(requests.addRead(query, result))));
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
    submit(now -> core.replaceSeeds(vms));
  }

  /** Transfers leadership to another replica if this one leads. */
  public void transferLeadership() {
    submit(core::transferLeadership);
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
    store.close();
  }

  private void submit(Task task) {
    if (stopping) {
      return;
    }
    tasks.add(task);
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

  private void runUntilFailure() throws InterruptedException {
    try {
      while (!stopping) {
        processBatch();
      }
    } catch (StorageException | RuntimeException e) {
      if (!stopping) {
        recover(e);
      }
    }
  }

  private void processBatch() throws InterruptedException, StorageException {
    Task first = tasks.poll(TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    List<Task> batch = new ArrayList<>();
    if (first != null) {
      batch.add(first);
      tasks.drainTo(batch, MAX_BATCH_TASKS);
    }
    long now = System.nanoTime();
    for (Task task : batch) {
      task.run(now);
    }
    core.tick(now);
    core.flush(now);
    performOutputs(core.takeOutputs());
    updateStatus(now);
    notifyAccepted();
    compactIfDue();
  }

  /**
   * Notifies the listener of the newest desired state, once per batch because the log that is
   * replayed after a start holds many versions. Completes proposals only afterwards, so that VMs
   * that act on a change learn of it before its proposer does.
   */
  private void notifyAccepted() {
    if (state.desiredDocument().version() > notifiedVersion) {
      notifiedVersion = state.desiredDocument().version();
      listener.desiredAccepted(state.desiredDocument());
    }
    completions.forEach(Runnable::run);
    completions.clear();
  }

  private void performOutputs(List<Output> outputs) throws StorageException {
    List<Output.Save> saves = new ArrayList<>();
    for (Output output : outputs) {
      if (output instanceof Output.Save save) {
        saves.add(save);
      }
    }
    if (!saves.isEmpty()) {
      store.save(saves);
    }
    for (Output output : outputs) {
      if (output instanceof Output.Send send) {
        sender.accept(send.message());
      } else if (output instanceof Output.Apply apply) {
        apply(apply.entry());
      } else if (output instanceof Output.Restore restore) {
        state = StateCodec.decodeState(restore.snapshot().state());
        appliedIndex = restore.snapshot().index();
      } else {
        handleRequestOutput(output);
      }
    }
  }

  private void handleRequestOutput(Output output) {
    if (output instanceof Output.Appended appended) {
      requests.onAppended(appended, this::notLeader);
    } else if (output instanceof Output.Refused refused) {
      requests.reject(refused.operationId(), this::notLeader);
    } else if (output instanceof Output.ReadConfirmed confirmed) {
      requests.completeRead(confirmed.operationId(), state);
    }
  }

  private void apply(LogEntry entry) {
    appliedIndex = entry.index();
    Optional<CompletableFuture<CommandResult>> proposer =
        requests.removeCommand(entry.index(), entry.term(), this::notLeader);
    if (!(entry.payload() instanceof LogEntry.Command command)) {
      proposer.ifPresent(result -> result.completeExceptionally(notLeader()));
      return;
    }
    long rulesBefore = state.latestRules().number();
    bytesSinceSnapshot += command.bytes().length;
    CommandResult result = state.apply(StateCodec.decodeCommand(command.bytes()));
    if (state.latestRules().number() > rulesBefore) {
      listener.rulesAccepted(state.latestRules().number());
    }
    proposer.ifPresent(future -> completions.add(() -> future.complete(result)));
  }

  private void compactIfDue() throws StorageException {
    boolean belowEntryLimit = appliedIndex - core.snapshot().index() < ENTRIES_PER_SNAPSHOT;
    if (belowEntryLimit && bytesSinceSnapshot < COMMAND_BYTES_PER_SNAPSHOT) {
      return;
    }
    bytesSinceSnapshot = 0;
    Snapshot snapshot = core.compact(appliedIndex, StateCodec.encode(state.contents()));
    store.compact(snapshot, core.entriesAfterSnapshot());
  }

  private NotLeaderException notLeader() {
    return new NotLeaderException(core.leader().map(ReplicaId::vm).orElse(""));
  }

  private void updateStatus(long now) {
    status =
        new ReplicaStatus(
            core.role().name().toLowerCase(Locale.ROOT).replace('_', '-'),
            core.term(),
            core.leader().map(ReplicaId::vm).orElse(""),
            core.commitIndex(),
            core.lastIndex(),
            core.config().voters().stream().map(ReplicaId::vm).toList(),
            core.config().learners().stream().map(ReplicaId::vm).toList(),
            core.leaseDeadline(now));
  }

  /** Rejects all requests and opens the replica again, until that succeeds. */
  private void recover(Exception cause) throws InterruptedException {
    Logger.error(cause, "replica failed and will be opened again: {}", cause.getMessage());
    status = ReplicaStatus.failed(core.term(), core.commitIndex());
    notifyAccepted();
    requests.rejectAll();
    store.close();
    do {
      rejectTasks(System.nanoTime() + REOPEN_DELAY_NANOS);
    } while (!reopen());
    Logger.info("replica is open again, last entry {}", core.lastIndex());
  }

  private void rejectTasks(long deadline) throws InterruptedException {
    long left = deadline - System.nanoTime();
    while (left > 0) {
      Task task = tasks.poll(left, TimeUnit.NANOSECONDS);
      if (task != null) {
        task.reject();
      }
      left = deadline - System.nanoTime();
    }
  }

  private boolean reopen() {
    try {
      ReplicaOpener.OpenReplica opened = opener.reopen();
      core = opened.core();
      store = opened.store();
    } catch (StorageException | RuntimeException e) {
      Logger.warn(e, "replica cannot be opened yet: {}", e.getMessage());
      return false;
    }
    List<String> seeds = newSeeds;
    if (seeds != null) {
      core.replaceSeeds(seeds);
    }
    state = SystemState.empty();
    appliedIndex = 0;
    bytesSinceSnapshot = 0;
    return true;
  }
}
