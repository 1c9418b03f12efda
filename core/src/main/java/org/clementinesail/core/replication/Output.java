package org.clementinesail.core.replication;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * An action that the surrounding process must take after a step.
 *
 * <p>All {@link Save}s of a batch are written in order and synced before any other output of the
 * batch is executed.
 */
public sealed interface Output {

  /** An output that is written to disk. */
  sealed interface Save extends Output {}

  /**
   * Saves term and vote.
   *
   * @param term current term
   * @param votedFor replica that got the vote in this term, or null
   */
  record SaveVote(long term, @Nullable ReplicaId votedFor) implements Save {}

  /**
   * Saves entries; an entry at an index that is already saved replaces the log from there on.
   *
   * @param entries consecutive entries, never empty
   */
  record SaveEntries(List<LogEntry> entries) implements Save {}

  /**
   * Saves a snapshot from the leader, or the initial state of the cluster, and drops the log.
   *
   * @param clusterId random id of the cluster, never 0
   * @param snapshot snapshot that replaces the stored one
   */
  record SaveSnapshot(long clusterId, Snapshot snapshot) implements Save {}

  /**
   * Sends a message; it may be lost.
   *
   * @param message message that names its receiver
   */
  record Send(ReplicaMessage message) implements Output {}

  /**
   * Applies a committed entry to the state machine.
   *
   * @param entry entry whose index follows the last one applied
   */
  record Apply(LogEntry entry) implements Output {}

  /**
   * Replaces the state machine's state.
   *
   * @param snapshot the snapshot that holds the state
   */
  record Restore(Snapshot snapshot) implements Output {}

  /**
   * A proposal has been appended at an index; it is committed once an entry with this index and
   * term is applied, and lost if the entry applied there has another term.
   *
   * @param operationId number passed with the proposal
   * @param index index of the entry
   * @param term term of the entry
   */
  record Appended(long operationId, long index, long term) implements Output {}

  /**
   * A proposal or read was refused: this replica does not lead, lost leadership before it confirmed
   * the read, or has not yet committed an entry of its term, which reads require.
   *
   * @param operationId number passed with the proposal or read
   */
  record Refused(long operationId) implements Output {}

  /**
   * A majority confirmed, after the read was requested, that this replica leads.
   *
   * @param operationId number passed with the read
   * @param index index that must be applied before the read is answered
   */
  record ReadConfirmed(long operationId, long index) implements Output {}
}
