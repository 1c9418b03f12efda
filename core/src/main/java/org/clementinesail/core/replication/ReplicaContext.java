package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** The state that elections and replication share, with the steps that change it. */
final class ReplicaContext {
  final ReplicaId self;
  final Timing timing;
  final RandomGenerator random;
  final ReplicaLog log;

  long cluster;
  long term;
  @Nullable ReplicaId votedFor;
  ReplicaConfig config;
  long commit;
  Role role;
  @Nullable ReplicaId leader;
  @Nullable Leadership leadership;
  long lastLeaderContact;
  boolean leaderHeard;
  long electionDeadline;

  private final List<Output> outputs = new ArrayList<>();

  ReplicaContext(
      ReplicaId self, StoredState stored, Timing timing, RandomGenerator random, long now) {
    this.self = self;
    this.timing = timing;
    this.random = random;
    this.log = new ReplicaLog(stored.snapshot(), stored.entries());
    this.cluster = stored.cluster();
    this.term = stored.term();
    this.votedFor = stored.votedFor();
    this.config = log.config();
    this.commit = stored.snapshot().index();
    this.role = cluster == 0 ? Role.BLANK : Role.FOLLOWER;
    // A voter that restarts must still honour the lease it supported before.
    this.lastLeaderContact = now;
    resetElectionDeadline(now);
    if (cluster != 0) {
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
    emit(new Output.Send(new ReplicaMessage(cluster, self, to, messageTerm, body)));
  }

  boolean isVoter() {
    return config.voters().contains(self);
  }

  void saveVote(long newTerm, @Nullable ReplicaId vote) {
    term = newTerm;
    votedFor = vote;
    emit(new Output.SaveVote(newTerm, vote));
  }

  LogEntry appendOwn(LogEntry.Payload payload) {
    LogEntry entry = new LogEntry(log.lastIndex() + 1, term, payload);
    log.append(entry);
    emit(new Output.SaveEntries(List.of(entry)));
    if (leadership != null) {
      leadership.broadcastDue(true);
    }
    return entry;
  }

  void commitTo(long index) {
    while (commit < index) {
      commit++;
      emit(new Output.Apply(log.entry(commit)));
    }
  }

  /** Returns whether the previous change of replicas is accepted and a next one may begin. */
  boolean mayReconfigure() {
    return leadership != null && log.termAt(commit) == term && log.configIndex() <= commit;
  }

  void becomeFollower(long newTerm, @Nullable ReplicaId newLeader, long now) {
    if (newTerm > term) {
      saveVote(newTerm, null);
    }
    if (leadership != null) {
      emitAll(leadership.refuseReads());
      leadership = null;
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    resetElectionDeadline(now);
  }

  void followLeader(ReplicaId from, long now) {
    leaderHeard = true;
    if (role != Role.FOLLOWER || !from.equals(leader)) {
      becomeFollower(term, from, now);
    }
    lastLeaderContact = now;
    resetElectionDeadline(now);
  }

  /** Takes a cluster's snapshot in place of everything held. */
  void adopt(long number, Snapshot snapshot, long now) {
    cluster = number;
    log.reset(snapshot);
    config = log.config();
    commit = snapshot.index();
    role = Role.FOLLOWER;
    resetElectionDeadline(now);
    emit(new Output.SaveSnapshot(number, snapshot));
    emit(new Output.Restore(snapshot));
  }

  /**
   * Sets when to ask for pre-votes next. A replica that has heard no leader since it started asks
   * sooner: pre-votes disturb nobody, and after a loss of all replicas nobody else will ask.
   */
  void resetElectionDeadline(long now) {
    long least = leaderHeard ? timing.electionMin() : timing.heartbeat() / 2;
    long most = leaderHeard ? timing.electionMax() : timing.heartbeat() * 3 / 2;
    electionDeadline = now + least + random.nextLong(Math.max(1, most - least));
  }
}
