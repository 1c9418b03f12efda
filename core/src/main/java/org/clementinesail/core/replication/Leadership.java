package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** What a leader knows of its followers, its heartbeat rounds and its waiting reads. */
final class Leadership {
  /** How far one follower is. */
  static final class Progress {
    long next;
    long match;
    long ackedSentAt;

    Progress(long next, long ackedSentAt) {
      this.next = next;
      this.ackedSentAt = ackedSentAt;
    }
  }

  private record Round(long number, long sentAt) {}

  private record Read(long ticket, long round, long index) {}

  private static final int MAX_ROUNDS_KEPT = 1_000;

  private final Map<ReplicaId, Progress> followers = new HashMap<>();
  private final List<Round> rounds = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();
  private final Map<ReplicaId, Long> ackedRound = new HashMap<>();
  private final long startedAt;
  private final long neverAcked;
  private long round;
  private boolean broadcastDue;

  /** Creates the state of a leader that no follower has acknowledged yet. */
  Leadership(long now, long leaseNanos) {
    this.startedAt = now;
    this.neverAcked = now - leaseNanos - 1;
  }

  Progress progress(ReplicaId id, long nextIfNew) {
    return followers.computeIfAbsent(id, key -> new Progress(nextIfNew, neverAcked));
  }

  /** Returns when this leader was elected. */
  long startedAt() {
    return startedAt;
  }

  void retain(ReplicaConfig config) {
    followers.keySet().retainAll(config.members());
  }

  long startRound(long now) {
    round++;
    rounds.add(new Round(round, now));
    if (rounds.size() > MAX_ROUNDS_KEPT) {
      rounds.remove(0);
    }
    return round;
  }

  long round() {
    return round;
  }

  boolean broadcastDue() {
    return broadcastDue;
  }

  void broadcastDue(boolean due) {
    broadcastDue = due;
  }

  void acked(ReplicaId from, long ackedRoundNumber) {
    ackedRound.merge(from, ackedRoundNumber, Math::max);
    Progress progress = followers.get(from);
    if (progress == null) {
      return;
    }
    for (Round r : rounds) {
      if (r.number == ackedRoundNumber) {
        progress.ackedSentAt = Math.max(progress.ackedSentAt, r.sentAt);
      }
    }
  }

  /** Returns the latest time such that a majority answered something sent at or after it. */
  long majoritySentAt(ReplicaConfig config, ReplicaId self, long now) {
    List<Long> times = new ArrayList<>();
    for (ReplicaId voter : config.voters()) {
      Progress progress = followers.get(voter);
      if (voter.equals(self)) {
        times.add(now);
      } else {
        times.add(progress == null ? neverAcked : progress.ackedSentAt);
      }
    }
    times.sort(Collections.reverseOrder());
    return times.isEmpty() ? neverAcked : times.get(config.quorum() - 1);
  }

  /** Returns the highest index that a majority holds synced. */
  long majorityMatch(ReplicaConfig config, ReplicaId self, long ownLast) {
    List<Long> matches = new ArrayList<>();
    for (ReplicaId voter : config.voters()) {
      Progress progress = followers.get(voter);
      if (voter.equals(self)) {
        matches.add(ownLast);
      } else {
        matches.add(progress == null ? 0 : progress.match);
      }
    }
    matches.sort(Collections.reverseOrder());
    return matches.isEmpty() ? 0 : matches.get(config.quorum() - 1);
  }

  void addRead(long ticket, long index) {
    reads.add(new Read(ticket, round + 1, index));
  }

  /** Removes and returns the reads that a majority has confirmed. */
  List<Output> confirmedReads(ReplicaConfig config, ReplicaId self) {
    List<Output> confirmed = new ArrayList<>();
    Iterator<Read> it = reads.iterator();
    while (it.hasNext()) {
      Read read = it.next();
      long acks = config.voters().stream().filter(v -> acknowledged(v, self, read.round)).count();
      if (acks >= config.quorum()) {
        confirmed.add(new Output.ReadConfirmed(read.ticket, read.index));
        it.remove();
      }
    }
    return confirmed;
  }

  private boolean acknowledged(ReplicaId voter, ReplicaId self, long readRound) {
    return voter.equals(self)
        ? round >= readRound
        : ackedRound.getOrDefault(voter, 0L) >= readRound;
  }

  /** Removes all waiting reads, as refusals. */
  List<Output> refuseReads() {
    List<Output> refused = new ArrayList<>();
    for (Read read : reads) {
      refused.add(new Output.Refused(read.ticket));
    }
    reads.clear();
    return refused;
  }
}
