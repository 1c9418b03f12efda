package org.clementinesail.core.replication;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Decides on a leader which replicas join, become voters and are removed. */
final class VoterChanges {
  // Voters and learners; more would slow down each commit and tolerate more failures than needed.
  private static final int MAX_MEMBERS = 7;
  // A lost voter is removed only if this many voters remain; 3 tolerate one more failure.
  private static final int MIN_VOTERS = 3;
  // Maximum election timeouts without an answer until no learner is promoted beside a voter.
  private static final int QUIET_TIMEOUTS = 1;
  // Maximum election timeouts without an answer until a voter is removed.
  private static final int REMOVAL_TIMEOUTS = 6;
  // Heartbeat intervals that each voter has to answer a new leader before it counts as silent.
  private static final int FIRST_ANSWER_HEARTBEATS = 3;
  // Maximum election timeouts until a voter that has said that it stops must have stopped.
  private static final int LEAVING_TIMEOUTS = 2;

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
    removeLostVoter(state, now);
    promoteLearner(state, now);
    repeatConfig();
  }

  /**
   * Repeats a committed configuration with an even number of voters, so that its replicas know that
   * it is committed, also after a restart. Half of its voters may then go on after a disk is lost.
   */
  private void repeatConfig() {
    boolean even = context.config.voters().size() % 2 == 0;
    if (bootstrap.open() && even && context.canReconfigure() && !context.isConfigRepeated()) {
      replication.reconfigure(context.config);
    }
  }

  /**
   * Handles the message of a replica that stops as planned: exchanges it for a replica that waits,
   * or takes it out of the voters if {@link #MIN_VOTERS} remain. Confirms once there is nothing
   * left to do, so that it stops only when it counts no more.
   */
  void leave(LeaderState state, ReplicaId leaver, long now) {
    if (context.config.members().contains(leaver)) {
      long stoppedBy = now + timeouts(LEAVING_TIMEOUTS);
      state.progress(leaver, 0).leavingUntil(stoppedBy);
      tick(state, now);
    }
    boolean mayBeExchanged =
        context.config.voters().contains(leaver)
            ? !context.config.learners().isEmpty()
            : replication.findCaughtUpLearner(state).isPresent();
    if (context.canReconfigure() && !mayBeExchanged) {
      context.send(leaver, context.term, new ReplicaMessage.LeaveConfirmed());
    }
  }

  /** Returns a voter that answers, stays and holds all entries, so that it can be elected. */
  Optional<ReplicaId> findSuccessor(LeaderState state, long now) {
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
        .filter(id -> !state.progress(id, 0).isLeaving(now))
        .max(Comparator.comparingLong(id -> state.progress(id, 0).ackedSendTime - oldestAck));
  }

  /**
   * Adds a replica as a learner, without the replica on the same VM; one too many replaces a lost
   * voter.
   */
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
    boolean replacesVoter = next.voters().size() < context.config.voters().size();
    if (!replacesVoter && next.members().size() > MAX_MEMBERS) {
      Optional<ReplicaId> lost = findLostVoter(state, context.timing.replacementNanos(), now);
      if (lost.isEmpty()) {
        return;
      }
      next = next.without(lost.get());
    }
    replication.reconfigure(next);
  }

  /**
   * Removes a lost voter if {@link #MIN_VOTERS} remain. One that stops as planned goes at once, as
   * the others tolerate as many losses without it as beside it; a silent one goes soon if they
   * tolerate more without the lost voters, else after {@link #REMOVAL_TIMEOUTS}.
   */
  private void removeLostVoter(LeaderState state, long now) {
    int voters = context.config.voters().size();
    if (!bootstrap.open() || voters <= MIN_VOTERS || !context.canReconfigure()) {
      return;
    }
    long replacementNanos = context.timing.replacementNanos();
    int live = voters - lostVoters(state, replacementNanos, now).size();
    boolean improves = live >= MIN_VOTERS && live / 2 + 1 < context.config.quorum();
    findLostVoter(state, improves ? replacementNanos : timeouts(REMOVAL_TIMEOUTS), now)
        .ifPresent(lost -> replication.reconfigure(context.config.without(lost)));
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
    if (findLostVoter(state, timeouts(QUIET_TIMEOUTS), now).isEmpty()) {
      replication.reconfigure(context.config.withPromoted(learner.get()));
    } else if (bootstrap.open()) {
      findLostVoter(state, context.timing.replacementNanos(), now)
          .ifPresent(lost -> replication.reconfigure(context.config.without(lost)));
    }
  }

  private Optional<ReplicaId> findLostVoter(LeaderState state, long silenceNanos, long now) {
    return lostVoters(state, silenceNanos, now).stream().findFirst();
  }

  /** Returns the voters that stop as planned or have been silent for longer than the given time. */
  private List<ReplicaId> lostVoters(LeaderState state, long silenceNanos, long now) {
    List<ReplicaId> silent = silentVoters(state, silenceNanos, now);
    return context.config.voters().stream()
        .filter(id -> state.progress(id, 0).isLeaving(now) || silent.contains(id))
        .toList();
  }

  private List<ReplicaId> silentVoters(LeaderState state, long silenceNanos, long now) {
    long firstAnswer = FIRST_ANSWER_HEARTBEATS * context.timing.heartbeatNanos();
    if (now - state.electedAt() <= firstAnswer) {
      return List.of();
    }
    return context.config.voters().stream()
        .filter(id -> !id.equals(context.self))
        .filter(id -> now - state.progress(id, 0).lastContact() > silenceNanos)
        .toList();
  }

  private long timeouts(int count) {
    return count * context.timing.maxElectionTimeoutNanos();
  }
}
