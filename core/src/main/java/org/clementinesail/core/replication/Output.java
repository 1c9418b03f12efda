package org.clementinesail.core.replication;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the surrounding process must do after a step.
 *
 * <p>Every {@link Save} of a batch is written and synced, in order, before anything else of the
 * batch is done.
 */
public sealed interface Output {

  /** An output that changes the disk. */
  sealed interface Save extends Output {}

  /**
   * Saves term and vote.
   *
   * @param term current term
   * @param votedFor vote given in this term, or null
   */
  record SaveVote(long term, @Nullable ReplicaId votedFor) implements Save {}

  /**
   * Saves entries; an entry at or after an index already held replaces the log from there on.
   *
   * @param entries consecutive entries, never empty
   */
  record SaveEntries(List<LogEntry> entries) implements Save {}

  /**
   * Saves a snapshot received from the leader or the founding state, and drops the log.
   *
   * @param clusterId number of the cluster
   * @param snapshot the snapshot
   */
  record SaveSnapshot(long clusterId, Snapshot snapshot) implements Save {}

  /**
   * Sends a message; it may be lost.
   *
   * @param message the message, with its receiver
   */
  record Send(ReplicaMessage message) implements Output {}

  /**
   * Applies a committed entry to the state machine.
   *
   * @param entry the entry
   */
  record Apply(LogEntry entry) implements Output {}

  /**
   * Replaces the state machine's state.
   *
   * @param snapshot the snapshot that holds the state
   */
  record Restore(Snapshot snapshot) implements Output {}

  /**
   * A proposal has been appended at an index; it is accepted when an entry with this index and term
   * is applied.
   *
   * @param operationId the proposer's number
   * @param index index of the entry
   * @param term term of the entry
   */
  record Appended(long operationId, long index, long term) implements Output {}

  /**
   * A proposal or read was not taken: this replica does not lead.
   *
   * @param operationId the proposer's number
   */
  record Refused(long operationId) implements Output {}

  /**
   * A majority confirmed, after the read was asked for, that this replica leads.
   *
   * @param operationId the reader's number
   * @param index the state must have applied this index before the read is answered
   */
  record ReadConfirmed(long operationId, long index) implements Output {}
}
