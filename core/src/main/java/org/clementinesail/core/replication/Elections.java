package org.clementinesail.core.replication;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Pre-votes, votes and the hand-over of leadership. */
final class Elections {
  private final ReplicaContext context;
  private final LogReplication replication;
  private final Set<ReplicaId> grants = new HashSet<>();

  /** What voters have asked since this replica started, each in a term no older than the own. */
  private final Map<ReplicaId, ReplicaMessage> asked = new LinkedHashMap<>();

  Elections(ReplicaContext context, LogReplication replication) {
    this.context = context;
    this.replication = replication;
  }

  void tick(long now) {
    if (now >= context.electionDeadline && context.isVoter()) {
      startPreVote(now);
    }
  }

  private void startPreVote(long now) {
    context.role = Role.PRE_CANDIDATE;
    context.leader = null;
    startBallot(now);
    if (hasMajority()) {
      startElection(false, now);
      return;
    }
    ReplicaLog log = context.log;
    askVoters(context.term + 1, new ReplicaMessage.PreVote(log.lastIndex(), log.lastTerm()));
  }

  /** Stands for election; a transfer also succeeds while voters still hear the old leader. */
  void startElection(boolean transfer, long now) {
    if (!context.isVoter()) {
      return;
    }
    context.role = Role.CANDIDATE;
    context.leader = null;
    context.saveVote(context.term + 1, context.self);
    startBallot(now);
    if (hasMajority()) {
      replication.becomeLeader(now);
      return;
    }
    ReplicaLog log = context.log;
    askVoters(context.term, new ReplicaMessage.Vote(log.lastIndex(), log.lastTerm(), transfer));
  }

  void onPreVote(ReplicaMessage message, ReplicaMessage.PreVote ask, long now) {
    boolean waited = hearsLeader(now);
    if (message.term() > context.term) {
      asked.put(message.from(), message);
    }
    answerPreVote(message, ask, now);
    if (waited && allHaveAsked()) {
      // Those that were refused because of a possible lease need not ask again.
      asked.values().stream()
          .filter(other -> !other.from().equals(message.from()))
          .forEach(other -> answerPreVote(other, (ReplicaMessage.PreVote) other.body(), now));
    }
  }

  private void answerPreVote(ReplicaMessage message, ReplicaMessage.PreVote ask, long now) {
    boolean granted =
        message.term() > context.term
            && !hearsLeader(now)
            && upToDate(ask.lastTerm(), ask.lastIndex());
    long replyTerm = granted ? message.term() : context.term;
    context.send(message.from(), replyTerm, new ReplicaMessage.PreVoteReply(granted));
  }

  void onPreVoteReply(ReplicaMessage message, ReplicaMessage.PreVoteReply reply, long now) {
    if (!reply.granted()) {
      if (message.term() > context.term) {
        context.becomeFollower(message.term(), null, now);
      }
      return;
    }
    if (context.role != Role.PRE_CANDIDATE || message.term() != context.term + 1) {
      return;
    }
    count(message.from());
    if (hasMajority()) {
      startElection(false, now);
    }
  }

  void onVote(ReplicaMessage message, ReplicaMessage.Vote ask, long now) {
    if (!ask.transfer() && hearsLeader(now)) {
      return;
    }
    if (message.term() > context.term) {
      context.becomeFollower(message.term(), null, now);
    }
    boolean free = context.votedFor == null || context.votedFor.equals(message.from());
    boolean granted =
        message.term() == context.term && free && upToDate(ask.lastTerm(), ask.lastIndex());
    if (granted) {
      context.saveVote(context.term, message.from());
      context.resetElectionDeadline(now);
    }
    context.send(message.from(), context.term, new ReplicaMessage.VoteReply(granted));
  }

  void onVoteReply(ReplicaMessage message, ReplicaMessage.VoteReply reply, long now) {
    boolean counts = context.role == Role.CANDIDATE && message.term() == context.term;
    if (!counts || !reply.granted()) {
      return;
    }
    count(message.from());
    if (hasMajority()) {
      replication.becomeLeader(now);
    }
  }

  private void startBallot(long now) {
    grants.clear();
    grants.add(context.self);
    context.resetElectionDeadline(now);
  }

  private void count(ReplicaId from) {
    if (context.config.voters().contains(from)) {
      grants.add(from);
    }
  }

  private boolean hasMajority() {
    return grants.size() >= context.config.quorum();
  }

  private boolean hearsLeader(long now) {
    return context.leadership != null
        || (now - context.lastLeaderContact < context.timing.electionMin() && !allHaveAsked());
  }

  /**
   * Returns whether the lease that this replica may have supported before it started is over: its
   * holder was one of the voters, and one that asks for pre-votes in that term or a later one leads
   * that term no more.
   */
  private boolean allHaveAsked() {
    return !context.leaderHeard
        && context.config.voters().stream()
            .allMatch(voter -> voter.equals(context.self) || asked.containsKey(voter));
  }

  private boolean upToDate(long lastTerm, long lastIndex) {
    ReplicaLog log = context.log;
    if (lastTerm != log.lastTerm()) {
      return lastTerm > log.lastTerm();
    }
    return lastIndex >= log.lastIndex();
  }

  private void askVoters(long term, ReplicaMessage.Body body) {
    for (ReplicaId voter : context.config.voters()) {
      if (!voter.equals(context.self)) {
        context.send(voter, term, body);
      }
    }
  }
}
