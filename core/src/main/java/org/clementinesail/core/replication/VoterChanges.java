package org.clementinesail.core.replication;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Decides on a leader which replicas join, become voters and are removed. */
final class VoterChanges {
  // Voters and learners; more would slow down each commit and tolerate more failures than needed.
  private static final int MAX_MEMBERS = 7;
  // A silent voter is removed only if this many voters remain; 3 tolerate one more failure.
  private static final int MIN_VOTERS = 3;
  // Maximum election timeouts without contact until a voter may be replaced.
  private static final int SILENT_TIMEOUTS = 2;
  // Maximum election timeouts without an answer until no learner is promoted beside a voter.
  private static final int QUIET_TIMEOUTS = 1;
  // Maximum election timeouts without an answer until a voter is removed.
  private static final int REMOVAL_TIMEOUTS = 6;

  // Heartbeat intervals by which a voter that is asked to lead may have answered before the others.
  private static final int MAX_ACK_HEARTBEATS = 3;

  private final ReplicaContext context;
  private final LogReplication replication;
  private final ClusterBootstrap bootstrap;

  VoterChanges(ReplicaContext context, LogReplication replication, ClusterBootstrap bootstrap) {
    this.context = context;
    this.replication = replication;
    this.bootstrap = bootstrap;
  }

  void tick(LeaderState state, long now) {
    removeSilentVoter(state, now);
    promoteLearner(state, now);
  }

  /** Returns a voter that answers and holds all entries, so that it can be elected. */
  Optional<ReplicaId> findSuccessor(LeaderState state) {
    List<ReplicaId> others =
        context.config.voters().stream().filter(id -> !id.equals(context.self)).toList();
    // Measured from the newest answer, as a slow leader is late to hear all of them.
    long newestAck = others.isEmpty() ? 0 : state.progress(others.get(0), 0).ackedSendTime;
    for (ReplicaId other : others) {
      long ack = state.progress(other, 0).ackedSendTime;
      newestAck = ack - newestAck > 0 ? ack : newestAck;
    }
    long oldestAck = newestAck - MAX_ACK_HEARTBEATS * context.timing.heartbeatNanos();
    return others.stream()
        .filter(id -> state.progress(id, 0).matchIndex >= context.log.lastIndex())
        .filter(id -> state.progress(id, 0).ackedSendTime - oldestAck >= 0)
        .max(Comparator.comparingLong(id -> state.progress(id, 0).ackedSendTime - oldestAck));
  }

  /** Adds a replica as a learner, replacing a replica on the same VM or a silent voter. */
  void addLearner(LeaderState state, ReplicaId joiner, boolean blank, long now) {
    if (context.config.members().contains(joiner)) {
      if (blank) {
        replication.sendSnapshotToBlank(state, joiner, now);
      }
      return;
    }
    if (!bootstrap.mayJoin(joiner.vm()) || !context.canReconfigure()) {
      return;
    }
    ReplicaConfig next = context.config.withLearner(joiner);
    if (next.voters().size() == context.config.voters().size()) {
      Optional<ReplicaId> silent = findSilentVoter(state, SILENT_TIMEOUTS, now);
      if (silent.isPresent()) {
        next = next.without(silent.get());
      } else if (next.members().size() > MAX_MEMBERS) {
        return;
      }
    }
    replication.reconfigure(next);
  }

  /**
   * Removes a silent voter if {@link #MIN_VOTERS} remain: soon if the others tolerate more losses
   * without the silent voters than with them, else after {@link #REMOVAL_TIMEOUTS}.
   */
  private void removeSilentVoter(LeaderState state, long now) {
    int voters = context.config.voters().size();
    if (!bootstrap.open() || voters <= MIN_VOTERS || !context.canReconfigure()) {
      return;
    }
    int live = voters - silentVoters(state, SILENT_TIMEOUTS, now).size();
    boolean improves = live >= MIN_VOTERS && live / 2 + 1 < context.config.quorum();
    findSilentVoter(state, improves ? SILENT_TIMEOUTS : REMOVAL_TIMEOUTS, now)
        .ifPresent(silent -> replication.reconfigure(context.config.without(silent)));
  }

  /**
   * Makes a learner that has caught up a voter. While a voter does not answer, the learner waits
   * until it answers or has been removed: a lost voter that still counts beside its successor
   * raises the majority, so that the next loss would leave none.
   */
  private void promoteLearner(LeaderState state, long now) {
    if (!context.canReconfigure()) {
      return;
    }
    Optional<ReplicaId> learner = replication.findCaughtUpLearner(state);
    if (learner.isEmpty()) {
      return;
    }
    if (findSilentVoter(state, QUIET_TIMEOUTS, now).isEmpty()) {
      replication.reconfigure(context.config.withPromoted(learner.get()));
    } else if (bootstrap.open()) {
      findSilentVoter(state, SILENT_TIMEOUTS, now)
          .ifPresent(silent -> replication.reconfigure(context.config.without(silent)));
    }
  }

  private Optional<ReplicaId> findSilentVoter(LeaderState state, int timeouts, long now) {
    return silentVoters(state, timeouts, now).stream().findFirst();
  }

  private List<ReplicaId> silentVoters(LeaderState state, int timeouts, long now) {
    return context.config.voters().stream()
        .filter(id -> !id.equals(context.self))
        .filter(
            id ->
                isSilent(
                    Math.max(state.electedAt(), state.progress(id, 0).ackedSendTime),
                    timeouts,
                    now))
        .toList();
  }

  private boolean isSilent(long lastContact, int timeouts, long now) {
    return now - lastContact > timeouts * context.timing.maxElectionTimeoutNanos();
  }
}
