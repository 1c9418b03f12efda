package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** State shared by elections and replication, and the transitions that change it. */
final class ReplicaContext {
  final ReplicaId self;
  final Timing timing;
  final RandomGenerator random;
  final ReplicaLog log;

  long clusterId;
  long term;
  @Nullable ReplicaId votedFor;
  ReplicaConfig config;
  long commitIndex;
  Role role;
  @Nullable ReplicaId leader;
  @Nullable ReplicaId lastFollowed;
  @Nullable LeaderState leaderState;
  long lastLeaderContact;
  boolean leaderSeenSinceStart;
  long electionDeadline;

  private final List<Output> outputs = new ArrayList<>();

  ReplicaContext(
      ReplicaId self, StoredState stored, Timing timing, RandomGenerator random, long now) {
    this.self = self;
    this.timing = timing;
    this.random = random;
    this.log = new ReplicaLog(stored.snapshot(), stored.entries());
    this.clusterId = stored.clusterId();
    this.term = stored.term();
    this.votedFor = stored.votedFor();
    this.config = log.config();
    this.commitIndex = stored.snapshot().index();
    this.role = clusterId == 0 ? Role.BLANK : Role.FOLLOWER;
    // A voter that restarts must still honour the lease that it supported before.
    this.lastLeaderContact = now;
    resetElectionDeadline(now);
    if (clusterId != 0) {
      emit(new Output.Restore(stored.snapshot()));
    }
  }

  void emit(Output output) {
    outputs.add(output);
  }

  void emitAll(List<Output> more) {
    outputs.addAll(more);
  }

  List<Output> takeOutputs() {
    List<Output> taken = List.copyOf(outputs);
    outputs.clear();
    return taken;
  }

  void send(ReplicaId to, long messageTerm, ReplicaMessage.Body body) {
    emit(new Output.Send(new ReplicaMessage(clusterId, self, to, messageTerm, body)));
  }

  boolean isVoter() {
    return config.voters().contains(self);
  }

  boolean isSoleVoter() {
    return config.voters().equals(List.of(self));
  }

  void saveVote(long newTerm, @Nullable ReplicaId vote) {
    term = newTerm;
    votedFor = vote;
    emit(new Output.SaveVote(newTerm, vote));
  }

  LogEntry appendAsLeader(LogEntry.Payload payload) {
    LogEntry entry = new LogEntry(log.lastIndex() + 1, term, payload);
    log.append(entry);
    emit(new Output.SaveEntries(List.of(entry)));
    if (leaderState != null) {
      leaderState.broadcastDue(true);
    }
    return entry;
  }

  void commitTo(long index) {
    while (commitIndex < index) {
      commitIndex++;
      emit(new Output.Apply(log.entry(commitIndex)));
    }
  }

  /**
   * Returns whether this replica leads and has committed an entry of its term and the last
   * configuration entry.
   */
  boolean canReconfigure() {
    return leaderState != null
        && log.termAt(commitIndex) == term
        && log.configIndex() <= commitIndex;
  }

  void becomeFollower(long newTerm, @Nullable ReplicaId newLeader, long now) {
    if (newTerm > term) {
      saveVote(newTerm, null);
    }
    if (leaderState != null) {
      emitAll(leaderState.refusePendingReads());
      leaderState = null;
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    resetElectionDeadline(now);
  }

  void followLeader(ReplicaId from, long now) {
    leaderSeenSinceStart = true;
    if (role != Role.FOLLOWER || !from.equals(leader)) {
      becomeFollower(term, from, now);
    }
    lastFollowed = from;
    lastLeaderContact = now;
    resetElectionDeadline(now);
  }

  /** Replaces log, configuration and state by a snapshot and becomes a follower. */
  void reset(long newClusterId, Snapshot snapshot, long now) {
    clusterId = newClusterId;
    log.reset(snapshot);
    config = log.config();
    commitIndex = snapshot.index();
    role = Role.FOLLOWER;
    resetElectionDeadline(now);
    emit(new Output.SaveSnapshot(newClusterId, snapshot));
    emit(new Output.Restore(snapshot));
  }

  /**
   * Sets the next time to request pre-votes. A replica that has heard no leader since it started
   * does so sooner: pre-votes do not disturb a leader, and after a restart of all replicas there is
   * none.
   */
  void resetElectionDeadline(long now) {
    long minNanos =
        leaderSeenSinceStart ? timing.minElectionTimeoutNanos() : timing.heartbeatNanos() / 2;
    long maxNanos =
        leaderSeenSinceStart ? timing.maxElectionTimeoutNanos() : timing.heartbeatNanos() * 3 / 2;
    electionDeadline = now + minNanos + random.nextLong(Math.max(1, maxNanos - minNanos));
  }
}
