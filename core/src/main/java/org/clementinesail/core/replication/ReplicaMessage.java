package org.clementinesail.core.replication;

import java.util.List;

/**
 * A message between replicas.
 *
 * @param clusterId number of the cluster; 0 from a replica that belongs to none
 * @param from sender
 * @param to receiver; disk 0 reaches whichever disk the VM has
 * @param term term of the sender
 * @param body what is said
 */
public record ReplicaMessage(long clusterId, ReplicaId from, ReplicaId to, long term, Body body) {

  /** What a message says. */
  public sealed interface Body {}

  /**
   * A replica without state looks for a cluster or for founders, or one with state looks for the
   * cluster that took it out.
   *
   * @param blank whether the sender holds no state
   */
  public record Hello(boolean blank) implements Body {}

  /**
   * Tells the leader of a replica that wants to join.
   *
   * @param joiner the replica
   * @param blank whether it holds no state
   */
  public record JoinRequest(ReplicaId joiner, boolean blank) implements Body {}

  /**
   * The founding configuration, sent to a founder that holds no state yet.
   *
   * @param config the founders
   */
  public record InitialConfig(ReplicaConfig config) implements Body {}

  /**
   * Asks whether a vote would be granted, without raising anyone's term.
   *
   * @param lastIndex index of the sender's last entry
   * @param lastTerm term of that entry
   */
  public record PreVote(long lastIndex, long lastTerm) implements Body {}

  /**
   * Answers a {@link PreVote}.
   *
   * @param granted whether a vote would be granted
   */
  public record PreVoteReply(boolean granted) implements Body {}

  /**
   * Asks for a vote in the message's term.
   *
   * @param lastIndex index of the sender's last entry
   * @param lastTerm term of that entry
   * @param transfer whether the present leader asked the sender to take over
   */
  public record Vote(long lastIndex, long lastTerm, boolean transfer) implements Body {}

  /**
   * Answers a {@link Vote}.
   *
   * @param granted whether the vote is given; synced before it is sent
   */
  public record VoteReply(boolean granted) implements Body {}

  /**
   * Replicates entries; without entries, a heartbeat.
   *
   * @param prevIndex index of the entry before the first one sent
   * @param prevTerm term of that entry
   * @param entries the entries, possibly none
   * @param commit the leader's commit index
   * @param round number of the leader's heartbeat round, echoed in the reply
   */
  public record Append(
      long prevIndex, long prevTerm, List<LogEntry> entries, long commit, long round)
      implements Body {}

  /**
   * Answers {@link Append} and {@link InstallSnapshot} once everything up to the match is synced.
   *
   * @param success whether the entries follow the receiver's log
   * @param match last index known to equal the leader's, or a hint where to try next
   * @param round the round that is answered
   */
  public record AppendReply(boolean success, long match, long round) implements Body {}

  /**
   * Replaces the receiver's state by a snapshot.
   *
   * @param snapshot the leader's snapshot
   * @param round number of the leader's heartbeat round
   */
  public record InstallSnapshot(Snapshot snapshot, long round) implements Body {}

  /** The leader asks the receiver to start an election at once. */
  public record TakeOver() implements Body {}
}
