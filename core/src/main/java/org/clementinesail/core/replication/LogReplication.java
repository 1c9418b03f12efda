package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Replicates the log: a leader sends entries and counts replies, a follower stores entries. */
final class LogReplication {
  private static final int MAX_ENTRIES_PER_APPEND = 256;
  // One of the largest documents; the network accepts 64 MiB, a VM has little more memory.
  private static final long MAX_BYTES_PER_APPEND = 4L * 1_024 * 1_024;
  // Heartbeat intervals until a snapshot is repeated that the receiver has not acknowledged.
  private static final int SNAPSHOT_RETRY_HEARTBEATS = 3;

  private final ReplicaContext context;
  private long nextHeartbeatAt;

  LogReplication(ReplicaContext context) {
    this.context = context;
  }

  void becomeLeader(long now) {
    context.role = Role.LEADER;
    context.leader = context.self;
    context.leaderSeenSinceStart = true;
    long next = context.log.lastIndex() + 1;
    LeaderState leaderState = new LeaderState(now, context.timing.leaseNanos());
    ReplicaId former = context.lastFollowed;
    if (former != null) {
      leaderState.formerLeader(former, next, context.lastLeaderContact);
    }
    for (ReplicaId member : context.config.members()) {
      leaderState.progress(member, next);
    }
    context.leaderState = leaderState;
    context.appendAsLeader(new LogEntry.NoOp());
    advanceCommit();
  }

  /**
   * Steps down if no majority has replied within the minimum election timeout, else makes the next
   * flush send a heartbeat if one is due.
   */
  void tickLeader(LeaderState leaderState, long now) {
    long lastMajorityContact =
        Math.max(
            leaderState.electedAt(),
            leaderState.quorumSendTime(context.quorums(), context.self, now));
    if (now - lastMajorityContact > context.timing.minElectionTimeoutNanos()) {
      context.becomeFollower(context.term, null, now);
    } else if (now >= nextHeartbeatAt) {
      leaderState.broadcastDue(true);
    }
  }

  void flush(long now) {
    LeaderState leaderState = context.leaderState;
    if (leaderState == null || !leaderState.broadcastDue()) {
      return;
    }
    leaderState.broadcastDue(false);
    nextHeartbeatAt = now + context.timing.heartbeatNanos();
    long round = leaderState.startRound(now);
    for (ReplicaId member : context.config.members()) {
      if (!member.equals(context.self)) {
        sendAppend(leaderState, member, round, now);
      }
    }
    context.emitAll(leaderState.takeConfirmedReads(context.quorums(), context.self));
  }

  private void sendAppend(LeaderState leaderState, ReplicaId to, long round, long now) {
    ReplicaLog log = context.log;
    LeaderState.Progress progress = leaderState.progress(to, 0);
    if (!log.canSendFrom(progress.nextIndex) || progress.snapshotRetryDue(now)) {
      long retryAt = now + SNAPSHOT_RETRY_HEARTBEATS * context.timing.heartbeatNanos();
      progress.snapshotSent(log.snapshot().index(), retryAt);
      context.send(to, context.term, new ReplicaMessage.InstallSnapshot(log.snapshot(), round));
      return;
    }
    List<LogEntry> entries =
        log.entriesFrom(progress.nextIndex, MAX_ENTRIES_PER_APPEND, MAX_BYTES_PER_APPEND);
    long prev = progress.nextIndex - 1;
    context.send(
        to,
        context.term,
        new ReplicaMessage.Append(prev, log.termAt(prev), entries, context.commitIndex, round));
    progress.nextIndex += entries.size();
  }

  void onAppend(ReplicaMessage message, ReplicaMessage.Append append, long now) {
    if (message.term() < context.term) {
      reply(message.from(), false, context.commitIndex, append.round());
      return;
    }
    context.followLeader(message.from(), now);
    ReplicaLog log = context.log;
    long localPrevTerm = log.termAt(append.prevIndex());
    if (append.prevIndex() < log.snapshot().index() && localPrevTerm < 0) {
      // Compacted entries are committed, so the logs match at least up to the commit index.
      reply(message.from(), true, context.commitIndex, append.round());
      return;
    }
    if (localPrevTerm != append.prevTerm()) {
      long hint = Math.max(context.commitIndex, Math.min(log.lastIndex(), append.prevIndex() - 1));
      reply(message.from(), false, hint, append.round());
      return;
    }
    storeEntries(append.entries());
    long match = append.prevIndex() + append.entries().size();
    context.commitTo(Math.min(append.commit(), match));
    reply(message.from(), true, match, append.round());
  }

  private void storeEntries(List<LogEntry> entries) {
    ReplicaLog log = context.log;
    List<LogEntry> newEntries = new ArrayList<>();
    for (LogEntry entry : entries) {
      if (newEntries.isEmpty() && isStored(entry)) {
        continue;
      }
      if (newEntries.isEmpty() && entry.index() <= log.lastIndex()) {
        log.truncateFrom(entry.index());
      }
      log.append(entry);
      newEntries.add(entry);
    }
    if (!newEntries.isEmpty()) {
      context.emit(new Output.SaveEntries(newEntries));
      context.useLastConfig();
    }
  }

  private boolean isStored(LogEntry entry) {
    return entry.index() <= context.commitIndex
        || context.log.termAt(entry.index()) == entry.term();
  }

  void onInstallSnapshot(ReplicaMessage message, ReplicaMessage.InstallSnapshot install, long now) {
    if (message.term() < context.term) {
      return;
    }
    if (context.role == Role.BLANK) {
      context.reset(message.clusterId(), install.snapshot(), now);
      context.becomeFollower(message.term(), message.from(), now);
      context.lastFollowed = message.from();
      context.lastLeaderContact = now;
      context.leaderSeenSinceStart = true;
    } else {
      context.followLeader(message.from(), now);
      installSnapshot(install.snapshot(), now);
    }
    reply(message.from(), true, context.commitIndex, install.round());
  }

  /**
   * Replaces the log by a snapshot, unless the log already contains the entry at its index; then
   * only commits up to that entry. Ignores a snapshot that is not newer than the commit index.
   */
  private void installSnapshot(Snapshot snapshot, long now) {
    if (snapshot.index() <= context.commitIndex) {
      return;
    }
    if (context.log.termAt(snapshot.index()) == snapshot.term()) {
      context.commitTo(snapshot.index());
      return;
    }
    ReplicaId leader = context.leader;
    context.reset(context.clusterId, snapshot, now);
    context.leader = leader;
  }

  void onAppendReply(ReplicaMessage message, ReplicaMessage.AppendReply reply) {
    LeaderState leaderState = context.leaderState;
    ReplicaId from = message.from();
    if (leaderState == null
        || message.term() != context.term
        || !context.config.members().contains(from)) {
      return;
    }
    LeaderState.Progress progress = leaderState.progress(from, context.log.lastIndex() + 1);
    leaderState.recordAck(from, reply.round());
    if (reply.success()) {
      progress.snapshotAcknowledged(reply.match());
      progress.matchIndex =
          Math.max(progress.matchIndex, Math.min(reply.match(), context.log.lastIndex()));
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
      if (progress.nextIndex <= context.log.lastIndex()) {
        leaderState.broadcastDue(true); // entries that did not fit into the message
      }
      advanceCommit();
    } else {
      long retryAfter = Math.min(reply.match(), progress.nextIndex - 2);
      progress.nextIndex = Math.max(progress.matchIndex, retryAfter) + 1;
      leaderState.broadcastDue(true);
    }
    context.emitAll(leaderState.takeConfirmedReads(context.quorums(), context.self));
  }

  /** Sends the snapshot to a member that reports a blank disk, unless one is on its way. */
  void sendSnapshotToBlank(LeaderState leaderState, ReplicaId member, long now) {
    LeaderState.Progress progress = leaderState.progress(member, 0);
    if (!progress.awaitsSnapshotReply(now)) {
      progress.nextIndex = 0;
      leaderState.broadcastDue(true);
    }
  }

  void reconfigure(ReplicaConfig next) {
    context.appendAsLeader(new LogEntry.Reconfigure(next));
    context.useLastConfig();
    if (context.leaderState != null) {
      context.leaderState.retainMembers(next);
    }
    advanceCommit();
  }

  void advanceCommit() {
    LeaderState leaderState = context.leaderState;
    if (leaderState == null) {
      return;
    }
    long quorumIndex =
        leaderState.quorumMatchIndex(context.quorums(), context.self, context.log.lastIndex());
    if (quorumIndex > context.commitIndex && context.log.termAt(quorumIndex) == context.term) {
      context.commitTo(quorumIndex);
      leaderState.broadcastDue(true);
    }
  }

  /** Returns a learner that holds all committed entries. */
  Optional<ReplicaId> findCaughtUpLearner(LeaderState leaderState) {
    return context.config.learners().stream()
        .filter(id -> leaderState.progress(id, 0).matchIndex >= context.commitIndex)
        .findFirst();
  }

  private void reply(ReplicaId to, boolean success, long match, long round) {
    context.send(to, context.term, new ReplicaMessage.AppendReply(success, match, round));
  }
}
