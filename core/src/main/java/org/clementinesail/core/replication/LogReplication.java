package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;

/** Replication of the log: a leader's sending and counting, a follower's storing. */
final class LogReplication {
  private static final int MAX_ENTRIES_PER_APPEND = 256;

  private final ReplicaContext context;
  private long nextHeartbeat;

  LogReplication(ReplicaContext context) {
    this.context = context;
  }

  void becomeLeader(long now) {
    context.role = Role.LEADER;
    context.leader = context.self;
    context.leaderHeard = true;
    long next = context.log.lastIndex() + 1;
    Leadership led = new Leadership(now, context.timing.leaseNanos());
    for (ReplicaId member : context.config.members()) {
      led.progress(member, next);
    }
    context.leadership = led;
    context.appendOwn(new LogEntry.NoOp());
    advanceCommit();
  }

  /** Gives leadership up when the majority is not heard, else sends heartbeats. */
  void tickLeader(Leadership led, long now) {
    long contact = Math.max(led.startedAt(), led.majoritySentAt(context.config, context.self, now));
    if (now - contact > context.timing.electionMin()) {
      context.becomeFollower(context.term, null, now);
    } else if (now >= nextHeartbeat) {
      led.broadcastDue(true);
    }
  }

  void flush(long now) {
    Leadership led = context.leadership;
    if (led == null || !led.broadcastDue()) {
      return;
    }
    led.broadcastDue(false);
    nextHeartbeat = now + context.timing.heartbeat();
    long round = led.startRound(now);
    for (ReplicaId member : context.config.members()) {
      if (!member.equals(context.self)) {
        sendAppend(led, member, round);
      }
    }
    context.emitAll(led.confirmedReads(context.config, context.self));
  }

  private void sendAppend(Leadership led, ReplicaId to, long round) {
    ReplicaLog log = context.log;
    Leadership.Progress progress = led.progress(to, 0);
    if (!log.canSendFrom(progress.next)) {
      progress.next = log.snapshot().index() + 1;
      context.send(to, context.term, new ReplicaMessage.InstallSnapshot(log.snapshot(), round));
      return;
    }
    List<LogEntry> entries = log.from(progress.next, MAX_ENTRIES_PER_APPEND);
    long prev = progress.next - 1;
    context.send(
        to,
        context.term,
        new ReplicaMessage.Append(prev, log.termAt(prev), entries, context.commit, round));
    progress.next += entries.size();
  }

  void onAppend(ReplicaMessage message, ReplicaMessage.Append append, long now) {
    if (message.term() < context.term) {
      reply(message.from(), false, context.commit, append.round());
      return;
    }
    context.followLeader(message.from(), now);
    ReplicaLog log = context.log;
    long prevTermHere = log.termAt(append.prevIndex());
    if (append.prevIndex() < log.snapshot().index() && prevTermHere < 0) {
      reply(message.from(), true, context.commit, append.round());
      return;
    }
    if (prevTermHere != append.prevTerm()) {
      long hint = Math.max(context.commit, Math.min(log.lastIndex(), append.prevIndex() - 1));
      reply(message.from(), false, hint, append.round());
      return;
    }
    store(append.entries());
    long match = append.prevIndex() + append.entries().size();
    context.commitTo(Math.min(append.commit(), match));
    reply(message.from(), true, match, append.round());
  }

  private void store(List<LogEntry> entries) {
    ReplicaLog log = context.log;
    List<LogEntry> fresh = new ArrayList<>();
    for (LogEntry entry : entries) {
      if (fresh.isEmpty() && held(entry)) {
        continue;
      }
      if (fresh.isEmpty() && entry.index() <= log.lastIndex()) {
        log.truncateFrom(entry.index());
      }
      log.append(entry);
      fresh.add(entry);
    }
    if (!fresh.isEmpty()) {
      context.emit(new Output.SaveEntries(fresh));
      context.config = log.config();
    }
  }

  private boolean held(LogEntry entry) {
    return entry.index() <= context.commit || context.log.termAt(entry.index()) == entry.term();
  }

  void onInstallSnapshot(ReplicaMessage message, ReplicaMessage.InstallSnapshot install, long now) {
    if (message.term() < context.term) {
      return;
    }
    if (context.role == Role.BLANK) {
      context.adopt(message.cluster(), install.snapshot(), now);
      context.becomeFollower(message.term(), message.from(), now);
      context.lastLeaderContact = now;
      context.leaderHeard = true;
    } else {
      context.followLeader(message.from(), now);
      installOverLog(install.snapshot(), now);
    }
    reply(message.from(), true, context.commit, install.round());
  }

  /** Keeps the entries behind a snapshot that the log already agrees with. */
  private void installOverLog(Snapshot snapshot, long now) {
    if (snapshot.index() <= context.commit) {
      return;
    }
    if (context.log.termAt(snapshot.index()) == snapshot.term()) {
      context.commitTo(snapshot.index());
      return;
    }
    ReplicaId leader = context.leader;
    context.adopt(context.cluster, snapshot, now);
    context.leader = leader;
  }

  void onAppendReply(ReplicaMessage message, ReplicaMessage.AppendReply reply) {
    Leadership led = context.leadership;
    ReplicaId from = message.from();
    if (led == null || message.term() != context.term || !context.config.members().contains(from)) {
      return;
    }
    Leadership.Progress progress = led.progress(from, context.log.lastIndex() + 1);
    led.acked(from, reply.round());
    if (reply.success()) {
      progress.match = Math.max(progress.match, Math.min(reply.match(), context.log.lastIndex()));
      progress.next = Math.max(progress.next, progress.match + 1);
      advanceCommit();
      promoteIfCaughtUp(from, progress);
    } else {
      long retryAfter = Math.min(reply.match(), progress.next - 2);
      progress.next = Math.max(progress.match, retryAfter) + 1;
      led.broadcastDue(true);
    }
    context.emitAll(led.confirmedReads(context.config, context.self));
  }

  /** Sends the snapshot to a member that says it holds nothing. */
  void restartMember(Leadership led, ReplicaId member) {
    led.progress(member, 0).next = 0;
    led.broadcastDue(true);
  }

  void reconfigure(ReplicaConfig next) {
    context.appendOwn(new LogEntry.Reconfigure(next));
    context.config = next;
    if (context.leadership != null) {
      context.leadership.retain(next);
    }
    advanceCommit();
  }

  void advanceCommit() {
    Leadership led = context.leadership;
    if (led == null) {
      return;
    }
    long majority = led.majorityMatch(context.config, context.self, context.log.lastIndex());
    if (majority > context.commit && context.log.termAt(majority) == context.term) {
      context.commitTo(majority);
      led.broadcastDue(true);
    }
  }

  private void promoteIfCaughtUp(ReplicaId from, Leadership.Progress progress) {
    boolean learner = context.config.learners().contains(from);
    if (learner && progress.match >= context.commit && context.mayReconfigure()) {
      reconfigure(context.config.promoted(from));
    }
  }

  private void reply(ReplicaId to, boolean success, long match, long round) {
    context.send(to, context.term, new ReplicaMessage.AppendReply(success, match, round));
  }
}
