package org.clementinesail.core.replication;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Handles pre-votes, votes and leadership transfer. */
final class Elections {
  // More than the elections that a replica can have won pre-votes for without this one's knowledge.
  private static final long LOST_VOTERS_TERM_STEP = 1_000;

  private final ReplicaContext context;
  private final LogReplication replication;
  private final Set<ReplicaId> grantedVotes = new HashSet<>();

  /**
   * Last pre-vote request of each replica since this one started; only requests for a term after
   * the current one are stored.
   */
  private final Map<ReplicaId, ReplicaMessage> preVoteRequests = new LinkedHashMap<>();

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
    resetVotes(now);
    if (hasMajority()) {
      startElection(false, now);
      return;
    }
    ReplicaLog log = context.log;
    sendToOtherVoters(
        context.term + 1, new ReplicaMessage.PreVote(log.lastIndex(), log.lastTerm()));
  }

  /** Requests votes; on a transfer, voters grant them even while they hear the old leader. */
  void startElection(boolean transfer, long now) {
    if (!context.isVoter()) {
      return;
    }
    context.role = Role.CANDIDATE;
    context.leader = null;
    resetVotes(now);
    context.saveVote(context.term + termStep(), context.self);
    if (hasMajority()) {
      replication.becomeLeader(now);
      return;
    }
    ReplicaLog log = context.log;
    sendToOtherVoters(
        context.term, new ReplicaMessage.Vote(log.lastIndex(), log.lastTerm(), transfer));
  }

  /**
   * Returns by how much an election raises the term. If voters count for nothing because their
   * disks are lost, their votes for others may still be on the way; the term is then above those
   * that they can have voted in.
   */
  private long termStep() {
    return context.knowsLostVoters() ? LOST_VOTERS_TERM_STEP : 1;
  }

  void onPreVote(ReplicaMessage message, ReplicaMessage.PreVote request, long now) {
    boolean refusedBefore = mayHaveLeader(now);
    if (message.term() > context.term) {
      preVoteRequests.put(message.from(), message);
    }
    answerPreVote(message, request, now);
    if (refusedBefore && allVotersRequestedPreVote()) {
      // Answers the requests refused because of a possible lease again; they need not be resent.
      preVoteRequests.values().stream()
          .filter(other -> !other.from().equals(message.from()))
          .forEach(other -> answerPreVote(other, (ReplicaMessage.PreVote) other.body(), now));
    }
  }

  private void answerPreVote(ReplicaMessage message, ReplicaMessage.PreVote request, long now) {
    boolean granted =
        message.term() > context.term
            && !mayHaveLeader(now)
            && isUpToDate(request.lastTerm(), request.lastIndex());
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
    recordGrant(message.from());
    if (hasMajority()) {
      startElection(false, now);
    }
  }

  void onVote(ReplicaMessage message, ReplicaMessage.Vote request, long now) {
    if (!request.transfer() && mayHaveLeader(now)) {
      return;
    }
    if (message.term() > context.term) {
      context.becomeFollower(message.term(), null, now);
    }
    boolean canVote = context.votedFor == null || context.votedFor.equals(message.from());
    boolean granted =
        message.term() == context.term
            && canVote
            && isUpToDate(request.lastTerm(), request.lastIndex());
    if (granted) {
      context.saveVote(context.term, message.from());
      context.resetElectionDeadline(now);
    }
    context.send(message.from(), context.term, new ReplicaMessage.VoteReply(granted));
  }

  void onVoteReply(ReplicaMessage message, ReplicaMessage.VoteReply reply, long now) {
    boolean current = context.role == Role.CANDIDATE && message.term() == context.term;
    if (!current) {
      return;
    }
    if (!reply.granted()) {
      context.retryElectionSoon(now);
      return;
    }
    recordGrant(message.from());
    if (hasMajority()) {
      replication.becomeLeader(now);
    }
  }

  private void resetVotes(long now) {
    context.fixLostVoters();
    grantedVotes.clear();
    grantedVotes.add(context.self);
    context.resetElectionDeadline(now);
  }

  private void recordGrant(ReplicaId from) {
    grantedVotes.add(from);
  }

  private boolean hasMajority() {
    return context.electionQuorum().isReached(grantedVotes::contains);
  }

  private boolean mayHaveLeader(long now) {
    return context.leaderState != null
        || (now - context.lastLeaderContact < context.timing.minElectionTimeoutNanos()
            && !allVotersRequestedPreVote());
  }

  /**
   * Returns whether all other voters have requested pre-votes since this replica started, and it
   * has seen no leader since. Then a lease that it may have supported before it started is over:
   * the lease was held by one of the voters, and a voter that requests pre-votes in that term or a
   * later one no longer leads that term.
   */
  private boolean allVotersRequestedPreVote() {
    return !context.leaderSeenSinceStart
        && context.config.voters().stream()
            .allMatch(voter -> voter.equals(context.self) || preVoteRequests.containsKey(voter));
  }

  private boolean isUpToDate(long lastTerm, long lastIndex) {
    ReplicaLog log = context.log;
    if (lastTerm != log.lastTerm()) {
      return lastTerm > log.lastTerm();
    }
    return lastIndex >= log.lastIndex();
  }

  private void sendToOtherVoters(long term, ReplicaMessage.Body body) {
    for (ReplicaId voter : context.config.voters()) {
      if (!voter.equals(context.self)) {
        context.send(voter, term, body);
      }
    }
  }
}
