package org.clementinesail.core.replication;

import org.clementinesail.core.replication.ReplicaMessage.InitialConfig;
import org.clementinesail.core.replication.ReplicaMessage.JoinRequest;

/**
 * Brings this replica into a cluster and out of it, and handles the requests of others to do so.
 */
final class ClusterEntry {
  private static final int HELLO_INTERVAL_HEARTBEATS = 3;
  // Maximum election timeouts without contact until Hellos are sent.
  private static final int SILENT_TIMEOUTS = 2;

  private final ReplicaContext context;
  private final ClusterBootstrap bootstrap;
  private final VoterChanges voters;
  private long nextHelloAt;
  private boolean leaving;
  private boolean leaveConfirmed;
  private long nextLeaveAt;

  ClusterEntry(ReplicaContext context, ClusterBootstrap bootstrap, VoterChanges voters) {
    this.context = context;
    this.bootstrap = bootstrap;
    this.voters = voters;
  }

  /** Handles a message that is also for replicas that are no members; returns whether it is one. */
  boolean receive(ReplicaMessage message, long now) {
    ReplicaMessage.Body body = message.body();
    boolean ownCluster = message.clusterId() == context.clusterId;
    LeaderState leaderState = ownCluster ? context.leaderState : null;
    if (body instanceof ReplicaMessage.Hello hello) {
      onHello(message, hello, now);
    } else if (body instanceof InitialConfig initial) {
      onInitialConfig(message, initial, now);
    } else if (body instanceof JoinRequest join) {
      if (leaderState != null) {
        voters.addLearner(leaderState, join.joiner(), join.blank(), now);
      }
    } else if (body instanceof ReplicaMessage.Leave) {
      if (leaderState != null) {
        voters.leave(leaderState, message.from(), now);
      }
    } else if (body instanceof ReplicaMessage.LeaveConfirmed) {
      leaveConfirmed |= ownCluster;
    } else {
      return false;
    }
    return true;
  }

  /**
   * Answers a message that a replica without state can't read: the sender counts on a disk that
   * this VM has lost, or on a snapshot that was lost, and may know no seed of this VM.
   */
  void sayBlank(ReplicaMessage message) {
    context.send(message.from(), context.term, new ReplicaMessage.Hello(true));
  }

  /** Asks to join again if no leader is heard, as this replica may have been taken out. */
  void rejoinIfAlone(long now) {
    long silentNanos = SILENT_TIMEOUTS * context.timing.maxElectionTimeoutNanos();
    boolean alone = !context.leaderSeenSinceStart || now - context.lastLeaderContact > silentNanos;
    if (bootstrap.open() && alone && !leaving) {
      sendHellos(false, now);
    }
  }

  /** Starts to leave; {@link #requestLeave} goes on with it. */
  void leave(long now) {
    leaving = true;
    nextLeaveAt = now;
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Returns whether this replica leaves and no other waits for it. */
  boolean hasLeft() {
    boolean needed = context.role != Role.BLANK && !context.isSoleVoter();
    return leaving && (leaveConfirmed || !needed);
  }

  /** Tells the leader that this replica leaves, until that is confirmed. */
  void requestLeave(long now) {
    boolean due = leaving && !leaveConfirmed && now - nextLeaveAt >= 0;
    if (due && context.leaderState == null && context.leader != null) {
      nextLeaveAt = now + context.timing.heartbeatNanos();
      context.send(context.leader, context.term, new ReplicaMessage.Leave());
    }
  }

  /**
   * Looks for a cluster and, as the initial member that does so, forms one; for a blank replica.
   */
  void findOrFormCluster(long now) {
    sendHellos(true, now);
    bootstrap.initialConfig(now).ifPresent(initialConfig -> formCluster(initialConfig, now));
  }

  private void sendHellos(boolean blank, long now) {
    if (now < nextHelloAt) {
      return;
    }
    nextHelloAt = now + HELLO_INTERVAL_HEARTBEATS * context.timing.heartbeatNanos();
    for (String vm : bootstrap.helloRecipients()) {
      context.send(new ReplicaId(vm, 0), context.term, new ReplicaMessage.Hello(blank));
    }
  }

  private void formCluster(ReplicaConfig initialConfig, long now) {
    long clusterId;
    do {
      clusterId = context.random.nextLong();
    } while (clusterId == 0);
    context.reset(clusterId, new Snapshot(0, 0, initialConfig, new byte[0]), now);
    for (ReplicaId member : initialConfig.voters()) {
      if (!member.equals(context.self)) {
        context.send(member, 0, new InitialConfig(initialConfig));
      }
    }
  }

  private void onInitialConfig(ReplicaMessage message, InitialConfig initial, long now) {
    if (context.role == Role.BLANK && initial.config().voters().contains(context.self)) {
      context.reset(message.clusterId(), new Snapshot(0, 0, initial.config(), new byte[0]), now);
    }
  }

  private void onHello(ReplicaMessage message, ReplicaMessage.Hello hello, long now) {
    ReplicaId from = message.from();
    bootstrap.recordHello(from, hello.blank(), now);
    boolean mayRejoin = bootstrap.open() && message.clusterId() == context.clusterId;
    if (context.role == Role.BLANK || (!hello.blank() && !mayRejoin)) {
      return;
    }
    if (hello.blank()) {
      context.lostDisks.recordBlank(from);
    }
    boolean member = context.config.members().contains(from);
    if (hello.blank()) {
      context.send(from, context.term, new ReplicaMessage.Hello(false));
    } else if (member) {
      return;
    }
    Snapshot snapshot = context.log.snapshot();
    if (context.leaderState != null) {
      voters.addLearner(context.leaderState, from, hello.blank(), now);
    } else if (hello.blank()
        && snapshot.index() == 0
        && snapshot.config().voters().contains(from)) {
      context.send(from, context.term, new InitialConfig(snapshot.config()));
    } else if ((member || bootstrap.open()) && context.leader != null) {
      // Also for a member: until it has state, the leader does not know that it is to be sent any.
      context.send(context.leader, context.term, new JoinRequest(from, hello.blank()));
    }
  }
}
