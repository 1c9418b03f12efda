package org.clementinesail.core.replication;

import java.util.List;

/**
 * A message between replicas.
 *
 * @param clusterId random id of the cluster; 0 from a replica that belongs to none
 * @param from replica that sends the message
 * @param to receiver; disk id 0 matches any disk of the VM
 * @param term current term of the sender, or the term that it asks or grants pre-votes for
 * @param body type and content of the message
 */
public record ReplicaMessage(long clusterId, ReplicaId from, ReplicaId to, long term, Body body) {

  /** Type and content of a message. */
  public sealed interface Body {
    /** Returns the size of the commands or the state in the message, in bytes; 0 without any. */
    default long payloadBytes() {
      return 0;
    }
  }

  /**
   * Sent by a replica without state to find a cluster or the other initial members, and by one with
   * state to find the leader of its cluster, which may have removed it. Also the answer to a Hello
   * from a replica without state.
   *
   * @param blank whether the sender has no state
   */
  public record Hello(boolean blank) implements Body {}

  /** Tells the leader that the sender stops as planned; repeated until it is confirmed. */
  public record Leave() implements Body {}

  /** Answers a {@link Leave}: the receiver may stop, as the others do not wait for it. */
  public record LeaveConfirmed() implements Body {}

  /**
   * Forwards to the leader that a replica wants to join.
   *
   * @param joiner replica that wants to join
   * @param blank whether it has no state
   */
  public record JoinRequest(ReplicaId joiner, boolean blank) implements Body {}

  /**
   * Sends the initial configuration to an initial member that has no state yet.
   *
   * @param config the initial members as voters
   */
  public record InitialConfig(ReplicaConfig config) implements Body {}

  /**
   * Asks whether a vote would be granted, without raising the term of any replica.
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
   * @param transfer whether the current leader asked the sender to take over
   */
  public record Vote(long lastIndex, long lastTerm, boolean transfer) implements Body {}

  /**
   * Answers a {@link Vote}.
   *
   * @param granted whether the vote is granted; it is synced to disk before the reply is sent
   */
  public record VoteReply(boolean granted) implements Body {}

  /**
   * Replicates entries, or serves as a heartbeat if it has none.
   *
   * @param prevIndex index of the entry before the first one sent
   * @param prevTerm term of that entry
   * @param entries consecutive entries after prevIndex, possibly none
   * @param commit the leader's commit index
   * @param round number of the leader's heartbeat round, echoed in the reply
   */
  public record Append(
      long prevIndex, long prevTerm, List<LogEntry> entries, long commit, long round)
      implements Body {
    @Override
    public long payloadBytes() {
      return entries.stream().mapToLong(LogEntry::payloadBytes).sum();
    }
  }

  /**
   * Answers {@link Append} and {@link InstallSnapshot} once all entries up to the match are synced.
   *
   * @param success whether the receiver's log contains the entry at prevIndex; false also for an
   *     {@link Append} of an earlier term
   * @param match on success the last index known to match the leader's log, else the index to retry
   *     after
   * @param round heartbeat round of the message that is answered
   */
  public record AppendReply(boolean success, long match, long round) implements Body {}

  /**
   * Replaces the receiver's state by a snapshot.
   *
   * @param snapshot latest snapshot of the leader
   * @param round number of the leader's heartbeat round, echoed in the reply
   */
  public record InstallSnapshot(Snapshot snapshot, long round) implements Body {
    @Override
    public long payloadBytes() {
      return snapshot.state().length;
    }
  }

  /** Tells the receiver to start an election immediately, as a leadership transfer. */
  public record TakeOver() implements Body {}
}
