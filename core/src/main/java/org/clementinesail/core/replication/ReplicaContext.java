package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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
  final LostDisks lostDisks = new LostDisks();
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
  private long configIndex;
  private ReplicaConfig previousConfig;

  /**
   * Voters whose disks were known to be lost when this replica last asked for votes; they count for
   * nothing until it follows a leader.
   */
  private Set<ReplicaId> lostVoters = Set.of();

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
    this.configIndex = log.configIndex();
    this.previousConfig = log.configBefore(configIndex);
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

  /** Takes over the configuration of the last entry that changes it. */
  void useLastConfig() {
    config = log.config();
    configIndex = log.configIndex();
    previousConfig = log.configBefore(configIndex);
  }

  /** Returns whether the configuration in effect is known to be committed. */
  boolean isConfigCommitted() {
    return configIndex <= commitIndex || isConfigRepeated();
  }

  /**
   * Returns whether the last entry that changes the configuration repeats the one before, which a
   * leader appends only once that one is committed.
   */
  boolean isConfigRepeated() {
    return previousConfig.equals(config);
  }

  /** Fixes which voters count for nothing in an election and in the term that it may win. */
  void fixLostVoters() {
    Set<ReplicaId> lost = new HashSet<>(lostDisks.votersOf(config));
    lost.addAll(lostDisks.votersOf(previousConfig));
    lostVoters = Set.copyOf(lost);
  }

  /** Returns whether this replica has asked for votes knowing of voters whose disks are lost. */
  boolean knowsLostVoters() {
    return !lostVoters.isEmpty();
  }

  /**
   * Returns the quorum that elects a leader. While the configuration may not be committed, half of
   * its voters need not share one with a majority of the voters before.
   */
  Quorum electionQuorum() {
    return isConfigCommitted()
        ? Quorum.committed(config, lostVoters)
        : Quorum.majority(config, lostVoters);
  }

  /**
   * Returns the quorums that must agree to commit entries: that of the configuration in effect, and
   * that of the one before until the change is committed.
   */
  List<Quorum> quorums() {
    return isConfigCommitted()
        ? List.of(electionQuorum())
        : List.of(electionQuorum(), Quorum.committed(previousConfig, lostVoters));
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
    return leaderState != null && log.termAt(commitIndex) == term && configIndex <= commitIndex;
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
    lostVoters = Set.of();
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
    useLastConfig();
    commitIndex = snapshot.index();
    role = Role.FOLLOWER;
    lostVoters = Set.of();
    resetElectionDeadline(now);
    emit(new Output.SaveSnapshot(newClusterId, snapshot));
    emit(new Output.Restore(snapshot));
  }

  /**
   * Sets an earlier time to request pre-votes after a split vote, at random so as not to repeat it.
   */
  void retryElectionSoon(long now) {
    long retryAt = now + random.nextLong(Math.max(1, timing.minElectionTimeoutNanos() / 2));
    electionDeadline = Math.min(electionDeadline, retryAt);
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
