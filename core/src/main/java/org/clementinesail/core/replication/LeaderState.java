package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** State that exists only on the leader: followers, heartbeat rounds and pending reads. */
final class LeaderState {
  /**
   * Replication progress of one follower: the next index to send, the last index known to match,
   * when the latest acknowledged round was sent, and which snapshot it has not acknowledged yet.
   */
  static final class Progress {
    private static final long NO_SNAPSHOT = -1;

    long nextIndex;
    long matchIndex;
    long ackedSendTime;
    private final long heardAt;
    private long leavingUntil;
    private long sentSnapshot = NO_SNAPSHOT;
    private long snapshotRetryAt;

    Progress(long nextIndex, long ackedSendTime, long heardAt) {
      this.nextIndex = nextIndex;
      this.ackedSendTime = ackedSendTime;
      this.heardAt = heardAt;
      this.leavingUntil = heardAt;
    }

    /** Returns when the follower last proved that it runs. */
    long lastContact() {
      return Math.max(ackedSendTime, heardAt);
    }

    /** Records that the follower stops as planned; void at the given time, if it still answers. */
    void leavingUntil(long deadline) {
      leavingUntil = deadline;
    }

    /** Returns whether the follower has said that it stops. */
    boolean isLeaving(long now) {
      return now - leavingUntil < 0;
    }

    /** Records that a snapshot was sent, to be repeated at the given time unless acknowledged. */
    void snapshotSent(long index, long retryAt) {
      nextIndex = index + 1;
      sentSnapshot = index;
      snapshotRetryAt = retryAt;
    }

    /** Records that the follower holds all entries up to an index. */
    void snapshotAcknowledged(long match) {
      if (match >= sentSnapshot) {
        sentSnapshot = NO_SNAPSHOT;
      }
    }

    /** Returns whether a snapshot was sent that is neither acknowledged nor to be repeated yet. */
    boolean awaitsSnapshotReply(long now) {
      return sentSnapshot != NO_SNAPSHOT && now - snapshotRetryAt < 0;
    }

    /** Returns whether a snapshot was sent and has to be repeated, as no reply has come in time. */
    boolean snapshotRetryDue(long now) {
      return sentSnapshot != NO_SNAPSHOT && now - snapshotRetryAt >= 0;
    }
  }

  private record Round(long number, long sentAt) {}

  private record PendingRead(long operationId, long round, long index) {}

  private static final int MAX_STORED_ROUNDS = 1_000;

  private final Map<ReplicaId, Progress> followers = new HashMap<>();
  private final List<Round> rounds = new ArrayList<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private final Map<ReplicaId, Long> latestAckedRounds = new HashMap<>();
  private final long electedAt;
  // Assumed send time until a follower has replied; a lease counted from it has already ended.
  private final long initialAckTime;
  private long currentRound;
  private boolean broadcastDue;

  /** Creates the state of a leader that no follower has acknowledged yet. */
  LeaderState(long now, long leaseNanos) {
    this.electedAt = now;
    this.initialAckTime = now - leaseNanos - 1;
  }

  Progress progress(ReplicaId id, long initialNextIndex) {
    return followers.computeIfAbsent(
        id, key -> new Progress(initialNextIndex, initialAckTime, electedAt));
  }

  /**
   * Takes over when this replica last heard the leader before it, so that the loss of a leader is
   * noticed no later than that of a follower.
   */
  void formerLeader(ReplicaId id, long initialNextIndex, long heardAt) {
    followers.put(id, new Progress(initialNextIndex, initialAckTime, heardAt));
  }

  /** Returns when this leader was elected, in nanoseconds of the monotonic clock. */
  long electedAt() {
    return electedAt;
  }

  void retainMembers(ReplicaConfig config) {
    followers.keySet().retainAll(config.members());
  }

  long startRound(long now) {
    currentRound++;
    rounds.add(new Round(currentRound, now));
    if (rounds.size() > MAX_STORED_ROUNDS) {
      rounds.remove(0);
    }
    return currentRound;
  }

  long currentRound() {
    return currentRound;
  }

  boolean broadcastDue() {
    return broadcastDue;
  }

  void broadcastDue(boolean due) {
    broadcastDue = due;
  }

  void recordAck(ReplicaId from, long ackedRound) {
    latestAckedRounds.merge(from, ackedRound, Math::max);
    Progress progress = followers.get(from);
    if (progress == null) {
      return;
    }
    for (Round r : rounds) {
      if (r.number == ackedRound) {
        progress.ackedSendTime = Math.max(progress.ackedSendTime, r.sentAt);
      }
    }
  }

  /**
   * Returns the latest time such that each quorum acknowledged a round sent at or after it.
   *
   * @param quorums quorums of the configurations in effect
   */
  long quorumSendTime(List<Quorum> quorums, ReplicaId self, long now) {
    return lowest(
        quorums, voter -> voter.equals(self) ? now : ackedSendTime(voter), initialAckTime);
  }

  private long ackedSendTime(ReplicaId voter) {
    Progress progress = followers.get(voter);
    return progress == null ? initialAckTime : progress.ackedSendTime;
  }

  /**
   * Returns the highest index that each quorum has synced to disk.
   *
   * @param quorums quorums of the configurations in effect
   */
  long quorumMatchIndex(List<Quorum> quorums, ReplicaId self, long ownLastIndex) {
    return lowest(quorums, voter -> voter.equals(self) ? ownLastIndex : matchIndex(voter), 0);
  }

  private long matchIndex(ReplicaId voter) {
    Progress progress = followers.get(voter);
    return progress == null ? 0 : progress.matchIndex;
  }

  private static long lowest(List<Quorum> quorums, ToLongFunction<ReplicaId> value, long none) {
    return quorums.stream().mapToLong(q -> q.highestReached(value, none)).min().orElse(none);
  }

  void addRead(long operationId, long index) {
    pendingReads.add(new PendingRead(operationId, currentRound + 1, index));
  }

  /** Removes and returns the reads that each quorum has confirmed. */
  List<Output> takeConfirmedReads(List<Quorum> quorums, ReplicaId self) {
    List<Output> confirmed = new ArrayList<>();
    Iterator<PendingRead> it = pendingReads.iterator();
    while (it.hasNext()) {
      PendingRead read = it.next();
      if (quorums.stream().allMatch(q -> q.isReached(v -> acknowledged(v, self, read.round)))) {
        confirmed.add(new Output.ReadConfirmed(read.operationId, read.index));
        it.remove();
      }
    }
    return confirmed;
  }

  private boolean acknowledged(ReplicaId voter, ReplicaId self, long readRound) {
    return voter.equals(self)
        ? currentRound >= readRound
        : latestAckedRounds.getOrDefault(voter, 0L) >= readRound;
  }

  /** Removes all pending reads and returns a refusal for each. */
  List<Output> refusePendingReads() {
    List<Output> refused = new ArrayList<>();
    for (PendingRead read : pendingReads) {
      refused.add(new Output.Refused(read.operationId));
    }
    pendingReads.clear();
    return refused;
  }
}
