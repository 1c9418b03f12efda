package org.clementinesail.server.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.SystemState;

/** Commands and reads of a replica whose results are awaited. Confined to the replica's thread. */
final class PendingRequests {
  private record AppendedCommand(long term, CompletableFuture<CommandResult> result) {}

  private record PendingRead(Function<SystemState, ?> query, CompletableFuture<Object> result) {}

  private final Map<Long, CompletableFuture<CommandResult>> proposals = new HashMap<>();
  private final Map<Long, AppendedCommand> commands = new HashMap<>();
  private final Map<Long, PendingRead> reads = new HashMap<>();
  private long nextOperationId = 1;

  /** Adds a proposal that is not in the log yet; returns its operation id. */
  long addProposal(CompletableFuture<CommandResult> result) {
    proposals.put(nextOperationId, result);
    return nextOperationId++;
  }

  /** Adds a read; returns its operation id. */
  long addRead(Function<SystemState, ?> query, CompletableFuture<Object> result) {
    reads.put(nextOperationId, new PendingRead(query, result));
    return nextOperationId++;
  }

  /** Records the log entry of a proposal; an earlier command at that index has been replaced. */
  void onAppended(Output.Appended appended, Supplier<NotLeaderException> failure) {
    CompletableFuture<CommandResult> result = proposals.remove(appended.operationId());
    if (result != null) {
      AppendedCommand replaced =
          commands.put(appended.index(), new AppendedCommand(appended.term(), result));
      if (replaced != null) {
        replaced.result().completeExceptionally(failure.get());
      }
    }
  }

  /**
   * Removes the command at an index, and returns its result if the entry that was accepted there is
   * that command; else the command fails.
   */
  Optional<CompletableFuture<CommandResult>> removeCommand(
      long index, long term, Supplier<NotLeaderException> failure) {
    AppendedCommand command = commands.remove(index);
    if (command == null) {
      return Optional.empty();
    }
    if (command.term() != term) {
      command.result().completeExceptionally(failure.get());
      return Optional.empty();
    }
    return Optional.of(command.result());
  }

  /** Fails the commands up to an index, because a snapshot hides whether they were accepted. */
  void rejectUpTo(long index, Supplier<NotLeaderException> failure) {
    commands
        .entrySet()
        .removeIf(
            command -> {
              boolean hidden = command.getKey() <= index;
              if (hidden) {
                command.getValue().result().completeExceptionally(failure.get());
              }
              return hidden;
            });
  }

  void completeRead(long operationId, SystemState state) {
    PendingRead read = reads.remove(operationId);
    if (read != null) {
      read.result().complete(read.query().apply(state));
    }
  }

  void reject(long operationId, Supplier<NotLeaderException> failure) {
    CompletableFuture<CommandResult> proposal = proposals.remove(operationId);
    if (proposal != null) {
      proposal.completeExceptionally(failure.get());
    }
    PendingRead read = reads.remove(operationId);
    if (read != null) {
      read.result().completeExceptionally(failure.get());
    }
  }

  /** Fails all commands and reads; a command may still be accepted. */
  void rejectAll() {
    NotLeaderException failure = new NotLeaderException("");
    proposals.values().forEach(result -> result.completeExceptionally(failure));
    commands.values().forEach(command -> command.result().completeExceptionally(failure));
    reads.values().forEach(read -> read.result().completeExceptionally(failure));
    proposals.clear();
    commands.clear();
    reads.clear();
  }
}
