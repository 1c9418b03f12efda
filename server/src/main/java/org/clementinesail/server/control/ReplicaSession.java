package org.clementinesail.server.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.replication.Snapshot;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.StateCodec;

/**
 * An open replica, from the opening of its files until it fails or is closed: saves state, sends
 * messages and applies entries as the core's outputs say. Confined to the replica's thread except
 * for {@link #close}.
 */
final class ReplicaSession implements AutoCloseable {
  /** Entries applied since the last snapshot before the next; bounds log size and restart time. */
  private static final long ENTRIES_PER_SNAPSHOT = 1_000;

  /** Bytes of commands applied since the last snapshot before the next, for the same reason. */
  private static final long COMMAND_BYTES_PER_SNAPSHOT = 2_000_000;

  private final ReplicaCore core;
  private final ReplicaStore store;
  private final Consumer<ReplicaMessage> sender;
  private final ReplicaDriver.StateListener listener;
  private final PendingRequests requests = new PendingRequests();
  private final List<Runnable> completions = new ArrayList<>();
  private SystemState state = SystemState.empty();
  private long appliedIndex;
  private long bytesSinceSnapshot;

  /** What the listener knows; each notification wakes the event loop. */
  private Optional<DesiredDocument> notified = Optional.empty();

  ReplicaSession(
      ReplicaOpener.OpenReplica opened,
      Consumer<ReplicaMessage> sender,
      ReplicaDriver.StateListener listener) {
    this.core = opened.core();
    this.store = opened.store();
    this.sender = sender;
    this.listener = listener;
  }

  ReplicaCore core() {
    return core;
  }

  /** Proposes an encoded command. */
  void propose(CompletableFuture<CommandResult> result, byte[] command) {
    core.propose(requests.addProposal(result), command);
  }

  void read(Function<SystemState, ?> query, CompletableFuture<Object> result) {
    core.read(requests.addRead(query, result));
  }

  /** Processes inputs as one batch; state is saved before messages leave. */
  void process(List<ReplicaTask> batch, long now) throws StorageException {
    for (ReplicaTask task : batch) {
      task.run(this, now);
    }
    core.tick(now);
    core.flush(now);
    performOutputs(core.takeOutputs());
  }

  /**
   * Notifies the listener of the newest desired state if it has changed, once per batch because the
   * log that is replayed after a start holds many versions. Completes proposals only afterwards, so
   * that VMs that act on a change learn of it before its proposer does.
   */
  void notifyAccepted() {
    Optional<DesiredDocument> desired = state.desiredDocument();
    if (desired.isPresent() && desired.get().replaces(notified)) {
      listener.desiredAccepted(desired.get());
      notified = desired;
    }
    completions.forEach(Runnable::run);
    completions.clear();
  }

  /** Reports what was accepted before a failure, and fails all other requests. */
  void fail() {
    try {
      notifyAccepted();
    } finally {
      requests.rejectAll();
    }
  }

  void compactIfDue() throws StorageException {
    boolean belowEntryLimit = appliedIndex - core.snapshot().index() < ENTRIES_PER_SNAPSHOT;
    if (belowEntryLimit && bytesSinceSnapshot < COMMAND_BYTES_PER_SNAPSHOT) {
      return;
    }
    bytesSinceSnapshot = 0;
    Snapshot snapshot = core.compact(appliedIndex, StateCodec.encode(state.contents()));
    store.compact(snapshot, core.entriesAfterSnapshot());
  }

  ReplicaStatus status(long now) {
    return new ReplicaStatus(
        core.role().name().toLowerCase(Locale.ROOT).replace('_', '-'),
        core.term(),
        core.leader().map(ReplicaId::vm).orElse(""),
        core.commitIndex(),
        core.lastIndex(),
        core.config().voters().stream().map(ReplicaId::vm).toList(),
        core.config().learners().stream().map(ReplicaId::vm).toList(),
        core.leaseDeadline(now));
  }

  @Override
  public void close() {
    store.close();
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
        restore(restore.snapshot());
      } else {
        handleRequestOutput(output);
      }
    }
  }

  private void restore(Snapshot snapshot) {
    state = StateCodec.decodeState(snapshot.state());
    appliedIndex = snapshot.index();
    requests.rejectUpTo(appliedIndex, this::notLeader);
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

  private NotLeaderException notLeader() {
    return new NotLeaderException(core.leader().map(ReplicaId::vm).orElse(""));
  }
}
