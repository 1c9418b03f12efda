package org.clementinesail.core.replication;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * One replica of the replicated log, without input or output.
 *
 * <p>Call the input methods, then {@link #flush}, then do what {@link #takeOutputs} lists: all
 * saves with one sync, then the rest in order.
 *
 * <pre>{@code
 * core.receive(message, now);
 * core.propose(ticket, bytes);
 * core.flush(now);
 * disk.save(core.takeOutputs());
 * }</pre>
 *
 * <p>All times are nanoseconds of one monotonic clock. The class is not thread-safe.
 */
public final class ReplicaCore {
  private static final int ENTRIES_KEPT_BEHIND_SNAPSHOT = 256;
  private static final int HEARTBEATS_PER_HELLO = 3;

  /** Most voters; more would slow each acceptance without bearing losses that are asked for. */
  private static final int MOST_VOTERS = 7;

  /** Fewest voters that silent ones are taken out of, so that one more loss can be borne. */
  private static final int FEWEST_VOTERS = 3;

  /** Longest election times without an answer after which a voter may be replaced. */
  private static final int SILENT_ELECTIONS = 2;

  /** Longest election times without an answer after which a voter is taken out. */
  private static final int LOST_ELECTIONS = 6;

  private final ReplicaContext context;
  private final LogReplication replication;
  private final Elections elections;
  private final Formation formation;
  private long nextHello;

  /**
   * Creates a replica from what its disk holds.
   *
   * @param self identity of this replica
   * @param membership who may hold replicas
   * @param stored what the disk holds
   * @param timing time settings
   * @param random source of election times and cluster numbers
   * @param now present time
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
    this.formation = new Formation(self, membership);
  }

  /** Returns this replica's identity. */
  public ReplicaId self() {
    return context.self;
  }

  /**
   * Replaces the VMs that are greeted while no cluster is found.
   *
   * @param vms names of VMs
   */
  public void contacts(List<String> vms) {
    formation.contacts(vms);
  }

  /** Returns the role in the present term. */
  public Role role() {
    return context.role;
  }

  /** Returns the present term. */
  public long term() {
    return context.term;
  }

  /** Returns the leader of the present term, if it is known. */
  public Optional<ReplicaId> leader() {
    return Optional.ofNullable(context.leader);
  }

  /** Returns the configuration in force. */
  public ReplicaConfig config() {
    return context.config;
  }

  /** Returns the index of the last entry known to be accepted. */
  public long commit() {
    return context.commit;
  }

  /** Returns the index of the last entry held. */
  public long lastIndex() {
    return context.log.lastIndex();
  }

  /** Returns the snapshot that the log starts from. */
  public Snapshot snapshot() {
    return context.log.snapshot();
  }

  /** Returns the entries after the snapshot. */
  public List<LogEntry> entriesAfterSnapshot() {
    return context.log.from(context.log.snapshot().index() + 1, Integer.MAX_VALUE);
  }

  /**
   * Returns the time until which no other replica can lead; in the past if this one does not lead.
   *
   * @param now present time
   */
  public long authorityDeadline(long now) {
    Leadership led = context.leadership;
    if (led == null) {
      return now - 1;
    }
    return led.majoritySentAt(context.config, context.self, now) + context.timing.leaseNanos();
  }

  /**
   * Lets time pass: elections, heartbeats, loss of a majority, formation.
   *
   * @param now present time
   */
  public void tick(long now) {
    if (context.role == Role.BLANK) {
      seekCluster(now);
    } else if (context.leadership != null) {
      replication.tickLeader(context.leadership, now);
      removeLost(now);
    } else {
      elections.tick(now);
      if (formation.open() && silentFor(context.lastLeaderContact, SILENT_ELECTIONS, now)) {
        greet(false, now);
      }
    }
  }

  /**
   * Proposes a command; answered by {@link Output.Appended} or {@link Output.Refused}.
   *
   * @param ticket the proposer's number
   * @param command the encoded command
   */
  public void propose(long ticket, byte[] command) {
    if (context.leadership == null) {
      context.emit(new Output.Refused(ticket));
      return;
    }
    LogEntry entry = context.appendOwn(new LogEntry.Command(command));
    context.emit(new Output.Appended(ticket, entry.index(), entry.term()));
    replication.advanceCommit();
  }

  /**
   * Asks for a read that sees every entry accepted before; answered by {@link Output.ReadConfirmed}
   * or {@link Output.Refused}.
   *
   * @param ticket the reader's number
   */
  public void read(long ticket) {
    Leadership led = context.leadership;
    if (led == null || context.log.termAt(context.commit) != context.term) {
      context.emit(new Output.Refused(ticket));
      return;
    }
    led.addRead(ticket, context.commit);
    led.broadcastDue(true);
  }

  /**
   * Hands leadership to the follower that holds most, if this replica leads.
   *
   * @param now present time
   */
  public void transferLeadership(long now) {
    Leadership led = context.leadership;
    if (led == null) {
      return;
    }
    Optional<ReplicaId> heir =
        context.config.voters().stream()
            .filter(v -> !v.equals(context.self))
            .max(Comparator.comparingLong(v -> led.progress(v, 0).match));
    context.becomeFollower(context.term, null, now);
    heir.ifPresent(id -> context.send(id, context.term, new ReplicaMessage.TakeOver()));
  }

  /**
   * Drops the part of the log that a snapshot covers.
   *
   * @param index index of the last entry applied to the state
   * @param state the encoded state after that entry
   * @return the snapshot to save
   */
  public Snapshot compact(long index, byte[] state) {
    ReplicaLog log = context.log;
    Snapshot next = new Snapshot(index, log.termAt(index), log.configAt(index), state);
    log.compact(next, ENTRIES_KEPT_BEHIND_SNAPSHOT);
    return next;
  }

  /**
   * Takes a message from another replica.
   *
   * @param message the message
   * @param now present time
   */
  public void receive(ReplicaMessage message, long now) {
    ReplicaId to = message.to();
    boolean disk = to.disk() == 0 || to.disk() == context.self.disk();
    if (!to.vm().equals(context.self.vm()) || !disk) {
      return;
    }
    ReplicaMessage.Body body = message.body();
    if (body instanceof ReplicaMessage.Hello hello) {
      onHello(message, hello, now);
    } else if (body instanceof ReplicaMessage.Introduce introduce) {
      if (message.cluster() == context.cluster && context.leadership != null) {
        admit(introduce.joiner(), introduce.blank(), now);
      }
    } else if (body instanceof ReplicaMessage.Genesis genesis) {
      onGenesis(message, genesis, now);
    } else if (context.role == Role.BLANK) {
      if (body instanceof ReplicaMessage.InstallSnapshot install) {
        replication.onInstallSnapshot(message, install, now);
      }
    } else if (message.cluster() == context.cluster) {
      receiveFromMember(message, now);
    }
  }

  /**
   * Sends what the inputs since the last flush call for.
   *
   * @param now present time
   */
  public void flush(long now) {
    replication.flush(now);
  }

  /** Returns and clears the outputs collected so far. */
  public List<Output> takeOutputs() {
    return context.takeOutputs();
  }

  private void receiveFromMember(ReplicaMessage message, long now) {
    ReplicaMessage.Body body = message.body();
    if (body instanceof ReplicaMessage.PreVote ask) {
      elections.onPreVote(message, ask, now);
    } else if (body instanceof ReplicaMessage.PreVoteReply reply) {
      elections.onPreVoteReply(message, reply, now);
    } else if (body instanceof ReplicaMessage.Vote ask) {
      elections.onVote(message, ask, now);
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

  private void seekCluster(long now) {
    greet(true, now);
    formation.decide(now).ifPresent(founders -> found(founders, now));
  }

  private void greet(boolean blank, long now) {
    if (now < nextHello) {
      return;
    }
    nextHello = now + HEARTBEATS_PER_HELLO * context.timing.heartbeat();
    for (String vm : formation.others()) {
      context.send(new ReplicaId(vm, 0), context.term, new ReplicaMessage.Hello(blank));
    }
  }

  private void found(ReplicaConfig founders, long now) {
    long number;
    do {
      number = context.random.nextLong();
    } while (number == 0);
    context.adopt(number, new Snapshot(0, 0, founders, new byte[0]), now);
    for (ReplicaId founder : founders.voters()) {
      if (!founder.equals(context.self)) {
        context.send(founder, 0, new ReplicaMessage.Genesis(founders));
      }
    }
  }

  private void onGenesis(ReplicaMessage message, ReplicaMessage.Genesis genesis, long now) {
    if (context.role == Role.BLANK && genesis.config().voters().contains(context.self)) {
      context.adopt(message.cluster(), new Snapshot(0, 0, genesis.config(), new byte[0]), now);
    }
  }

  private void onHello(ReplicaMessage message, ReplicaMessage.Hello hello, long now) {
    ReplicaId from = message.from();
    formation.greeted(from, hello.blank(), now);
    boolean stray = formation.open() && message.cluster() == context.cluster;
    if (context.role == Role.BLANK || (!hello.blank() && !stray)) {
      return;
    }
    boolean member = context.config.members().contains(from);
    if (hello.blank()) {
      context.send(from, context.term, new ReplicaMessage.Hello(false));
    } else if (member) {
      return;
    }
    Snapshot snapshot = context.log.snapshot();
    if (context.leadership != null) {
      admit(from, hello.blank(), now);
    } else if (member && snapshot.index() == 0) {
      context.send(from, context.term, new ReplicaMessage.Genesis(snapshot.config()));
    } else if (!member && formation.open() && context.leader != null) {
      context.send(context.leader, context.term, new ReplicaMessage.Introduce(from, hello.blank()));
    }
  }

  /** Takes a replica in as a learner, in place of one on the same VM or of a silent voter. */
  private void admit(ReplicaId joiner, boolean blank, long now) {
    Leadership led = context.leadership;
    if (led == null) {
      return;
    }
    if (context.config.members().contains(joiner)) {
      if (blank) {
        replication.restartMember(led, joiner);
      }
      return;
    }
    if (!formation.mayJoin(joiner.vm()) || !context.mayReconfigure()) {
      return;
    }
    ReplicaConfig next = context.config.withLearner(joiner);
    if (next.voters().size() == context.config.voters().size()) {
      Optional<ReplicaId> silent = silentVoter(led, SILENT_ELECTIONS, now);
      if (silent.isPresent()) {
        next = next.without(silent.get());
      } else if (next.members().size() > MOST_VOTERS) {
        return;
      }
    }
    replication.reconfigure(next);
  }

  /** Takes a voter out that has been silent for long, where enough are left. */
  private void removeLost(long now) {
    Leadership led = context.leadership;
    boolean enough = context.config.voters().size() > FEWEST_VOTERS;
    if (led != null && formation.open() && enough && context.mayReconfigure()) {
      silentVoter(led, LOST_ELECTIONS, now)
          .ifPresent(lost -> replication.reconfigure(context.config.without(lost)));
    }
  }

  private Optional<ReplicaId> silentVoter(Leadership led, int elections, long now) {
    return context.config.voters().stream()
        .filter(voter -> !voter.equals(context.self))
        .filter(
            voter ->
                silentFor(
                    Math.max(led.startedAt(), led.progress(voter, 0).ackedSentAt), elections, now))
        .findFirst();
  }

  private boolean silentFor(long since, int elections, long now) {
    return now - since > elections * context.timing.electionMax();
  }
}
