package org.clementinesail.core.replication;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.clementinesail.core.limits.LagDetector;

/**
 * One replica of the replicated log as a state machine that does no I/O itself.
 *
 * <p>All times are nanoseconds of one monotonic clock. This class is not thread-safe. Call the
 * input methods, then {@link #flush}, then execute what {@link #takeOutputs} returns: all saves
 * with one sync, then the rest in order.
 *
 * <pre>{@code
 * core.receive(message, now);
 * core.propose(operationId, bytes);
 * core.flush(now);
 * execute(core.takeOutputs());
 * }</pre>
 */
public final class ReplicaCore {
  // Followers up to this many entries behind the snapshot get entries instead of the snapshot.
  private static final int ENTRIES_KEPT_BEFORE_SNAPSHOT = 256;
  // Sum of their commands: of large ones fewer are kept, as the snapshot is no larger then.
  private static final long BYTES_KEPT_BEFORE_SNAPSHOT = 4L * 1_024 * 1_024;
  // Heartbeat intervals that a leader may be late by within two seconds.
  private static final int MAX_LATE_HEARTBEATS = 3;

  private final ReplicaContext context;
  private final LogReplication replication;
  private final Elections elections;
  private final ClusterBootstrap bootstrap;
  private final VoterChanges voters;
  private final ClusterEntry clusterEntry;
  private final LagDetector lag;
  private boolean transferPending;

  /**
   * Creates a replica from its stored state.
   *
   * @param self identity of this replica
   * @param membership which VMs may hold replicas
   * @param stored state read from disk; {@link StoredState#blank} if there is none
   * @param timing heartbeat interval, election timeouts and clock drift
   * @param random source of election timeouts and cluster ids
   * @param now current time in nanoseconds
   */
  public ReplicaCore(
      ReplicaId self,
      Membership membership,
      StoredState stored,
      Timing timing,
      RandomGenerator random,
      long now) {
    this.context = new ReplicaContext(self, stored, timing, random, now);
    this.replication = new LogReplication(context);
    this.elections = new Elections(context, replication);
    this.bootstrap = new ClusterBootstrap(self, membership);
    this.voters = new VoterChanges(context, replication, bootstrap);
    this.clusterEntry = new ClusterEntry(context, bootstrap, voters);
    this.lag =
        new LagDetector(timing.heartbeatNanos(), MAX_LATE_HEARTBEATS * timing.heartbeatNanos());
  }

  /** Returns the VM and the disk id of this replica. */
  public ReplicaId self() {
    return context.self;
  }

  /**
   * Replaces the VMs that this replica sends Hello messages to, beside the initial members.
   *
   * @param vms names of VMs; the own one is skipped
   */
  public void replaceSeeds(List<String> vms) {
    bootstrap.seeds(vms);
  }

  /** Returns the role in the current term. */
  public Role role() {
    return context.role;
  }

  /** Returns the current term; 0 before the first election. */
  public long term() {
    return context.term;
  }

  /** Returns the leader of the current term, or empty if it is unknown. */
  public Optional<ReplicaId> leader() {
    return Optional.ofNullable(context.leader);
  }

  /** Returns the configuration in effect, which may not be committed yet. */
  public ReplicaConfig config() {
    return context.config;
  }

  /** Returns the index of the last entry known to be committed; 0 if none is. */
  public long commitIndex() {
    return context.commitIndex;
  }

  /** Returns the index of the last entry in the log; 0 if there is none. */
  public long lastIndex() {
    return context.log.lastIndex();
  }

  /** Returns the latest snapshot; its index is 0 while it is the initial state. */
  public Snapshot snapshot() {
    return context.log.snapshot();
  }

  /** Returns the entries after the snapshot, committed or not. */
  public List<LogEntry> entriesAfterSnapshot() {
    return context.log.entriesFrom(context.log.snapshot().index() + 1);
  }

  /**
   * Returns the time until which no other replica can lead; in the past if this one does not.
   *
   * @param now current time in nanoseconds
   */
  public long leaseDeadline(long now) {
    LeaderState state = context.leaderState;
    if (state == null) {
      return now - 1;
    }
    return state.quorumSendTime(context.quorums(), context.self, now) + context.timing.leaseNanos();
  }

  /**
   * Handles what is due by time: elections, heartbeats, loss of a majority, cluster formation.
   *
   * @param now current time in nanoseconds
   */
  public void tick(long now) {
    lag.tick(now);
    transferPending |= clusterEntry.isLeaving();
    clusterEntry.requestLeave(now);
    if (context.role == Role.BLANK) {
      clusterEntry.findOrFormCluster(now);
    } else if (context.leaderState != null) {
      replication.tickLeader(context.leaderState, now);
      voters.tick(context.leaderState, now);
      handOverIfDue(now);
    } else {
      elections.tick(now);
      clusterEntry.rejoinIfAlone(now);
    }
  }

  /**
   * Proposes a command; results in {@link Output.Appended} or {@link Output.Refused}.
   *
   * @param operationId number chosen by the caller, repeated in the output
   * @param command the encoded command
   */
  public void propose(long operationId, byte[] command) {
    if (context.leaderState == null) {
      context.emit(new Output.Refused(operationId));
      return;
    }
    LogEntry entry = context.appendAsLeader(new LogEntry.Command(command));
    context.emit(new Output.Appended(operationId, entry.index(), entry.term()));
    replication.advanceCommit();
  }

  /**
   * Requests a read that sees all entries committed before; results in {@link Output.ReadConfirmed}
   * or {@link Output.Refused}.
   *
   * @param operationId number chosen by the caller, repeated in the output
   */
  public void read(long operationId) {
    LeaderState state = context.leaderState;
    if (state == null || context.log.termAt(context.commitIndex) != context.term) {
      context.emit(new Output.Refused(operationId));
      return;
    }
    state.addRead(operationId, context.commitIndex);
    state.broadcastDue(true);
  }

  /**
   * Transfers leadership to a voter that answers and holds all entries, at once or as soon as there
   * is one; does nothing unless this replica leads. Any other voter would not be elected, and
   * nobody would lead until an election timeout.
   *
   * @param now current time in nanoseconds
   */
  public void transferLeadership(long now) {
    transferPending = context.leaderState != null;
    transferIfPossible(now);
  }

  /**
   * Prepares a planned stop of this replica, which goes on until it is closed: transfers leadership
   * and asks the leader to exchange this replica or to do without it, until {@link #hasLeft}. A
   * restart on the same disk ends this; the replica then joins again if it was taken out.
   *
   * @param now current time in nanoseconds
   */
  public void leave(long now) {
    clusterEntry.leave(now);
    clusterEntry.requestLeave(now);
  }

  /** Returns whether this replica may stop after {@link #leave}, as no other waits for it. */
  public boolean hasLeft() {
    return clusterEntry.hasLeft();
  }

  /** Transfers leadership if a voter can be elected; returns whether it did. */
  private boolean transferIfPossible(long now) {
    LeaderState state = context.leaderState;
    Optional<ReplicaId> successor =
        state == null ? Optional.empty() : voters.findSuccessor(state, now);
    if (successor.isPresent()) {
      transferPending = false;
      context.becomeFollower(context.term, null, now);
      context.send(successor.get(), context.term, new ReplicaMessage.TakeOver());
    }
    return successor.isPresent();
  }

  /** Transfers leadership if it is to be transferred, or if this VM is too slow to lead. */
  private void handOverIfDue(long now) {
    transferPending &= context.leaderState != null;
    if (transferPending) {
      transferIfPossible(now);
    } else if (lag.isLagging() && transferIfPossible(now)) {
      lag.reset();
    }
  }

  /**
   * Drops the entries that a snapshot covers, except for the last 256 or 4 MiB of commands.
   *
   * @param index index of the last entry applied to the state; must still be in the log
   * @param state encoded state after that entry; not copied, must not be changed
   * @return the snapshot to save
   */
  public Snapshot compact(long index, byte[] state) {
    ReplicaLog log = context.log;
    Snapshot snapshot = new Snapshot(index, log.termAt(index), log.configAt(index), state);
    log.compact(snapshot, ENTRIES_KEPT_BEFORE_SNAPSHOT, BYTES_KEPT_BEFORE_SNAPSHOT);
    return snapshot;
  }

  /**
   * Handles a message from another replica; ignores it if it is for another VM, disk or cluster.
   *
   * @param message the message; may be delayed, duplicated or out of order
   * @param now current time in nanoseconds
   */
  public void receive(ReplicaMessage message, long now) {
    ReplicaId to = message.to();
    if (!to.vm().equals(context.self.vm())) {
      return;
    }
    if (to.diskId() != 0 && to.diskId() != context.self.diskId()) {
      if (context.role == Role.BLANK) {
        clusterEntry.sayBlank(message);
      }
      return;
    }
    if (clusterEntry.receive(message, now)) {
      return;
    }
    if (context.role == Role.BLANK) {
      if (message.body() instanceof ReplicaMessage.InstallSnapshot install) {
        replication.onInstallSnapshot(message, install, now);
      } else {
        clusterEntry.sayBlank(message);
      }
    } else if (message.clusterId() == context.clusterId) {
      receiveFromMember(message, now);
    }
  }

  /**
   * Sends one round of entries or heartbeats if the inputs since the last flush require it.
   *
   * @param now current time in nanoseconds
   */
  public void flush(long now) {
    replication.flush(now);
  }

  /** Returns and clears the outputs collected since the last call. */
  public List<Output> takeOutputs() {
    return context.takeOutputs();
  }

  private void receiveFromMember(ReplicaMessage message, long now) {
    context.lostDisks.recordState(message.from());
    ReplicaMessage.Body body = message.body();
    if (body instanceof ReplicaMessage.PreVote request) {
      elections.onPreVote(message, request, now);
    } else if (body instanceof ReplicaMessage.PreVoteReply reply) {
      elections.onPreVoteReply(message, reply, now);
    } else if (body instanceof ReplicaMessage.Vote request) {
      elections.onVote(message, request, now);
    } else {
      if (message.term() > context.term) {
        context.becomeFollower(message.term(), null, now);
      }
      receiveInTerm(message, now);
    }
  }

  private void receiveInTerm(ReplicaMessage message, long now) {
    ReplicaMessage.Body body = message.body();
    if (body instanceof ReplicaMessage.VoteReply reply) {
      elections.onVoteReply(message, reply, now);
    } else if (body instanceof ReplicaMessage.Append append) {
      replication.onAppend(message, append, now);
    } else if (body instanceof ReplicaMessage.AppendReply reply) {
      replication.onAppendReply(message, reply);
    } else if (body instanceof ReplicaMessage.InstallSnapshot install) {
      replication.onInstallSnapshot(message, install, now);
    } else if (body instanceof ReplicaMessage.TakeOver && message.term() == context.term) {
      elections.startElection(true, now);
    }
  }
}
