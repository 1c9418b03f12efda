package org.clementinesail.core.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Replicas on a simulated clock and a network that randomly loses, duplicates and delays messages,
 * the same way for the same seed. Fails on two leaders in one term, two lease holders at once, a
 * skipped entry, or a committed entry that differs between replicas.
 */
final class SimulatedCluster {
  static final Timing TIMING =
      new Timing(
          TimeUnit.MILLISECONDS.toNanos(50),
          TimeUnit.MILLISECONDS.toNanos(300),
          TimeUnit.MILLISECONDS.toNanos(600),
          TimeUnit.MILLISECONDS.toNanos(700),
          10);
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** A VM and its disk; {@code core} is null while it is stopped. */
  static final class Node {
    final String vm;
    StoredState disk = StoredState.blank();
    long diskId = 1;
    List<String> seeds;
    @Nullable ReplicaCore core;
    long appliedIndex;

    Node(String vm, List<String> seeds) {
      this.vm = vm;
      this.seeds = seeds;
    }
  }

  private record InFlightMessage(ReplicaMessage message, long deliveryTime) {}

  final Map<String, Node> nodes = new TreeMap<>();
  final Map<Long, LogEntry> committed = new HashMap<>();
  final Map<Long, ReplicaId> leaders = new HashMap<>();
  final Set<String> cutLinks = new HashSet<>();
  final List<Output> results = new ArrayList<>();

  /** VMs that run only once in this many milliseconds. */
  final Map<String, Long> slowVms = new HashMap<>();

  double lossProbability;
  double duplicateProbability;
  long maxDelayNanos = 2 * STEP_NANOS;
  private final List<InFlightMessage> inFlight = new ArrayList<>();
  private final Random random;
  private final List<String> initialMembers;
  private final boolean open;
  private final Timing timing;
  private long now = TimeUnit.SECONDS.toNanos(100);

  SimulatedCluster(long seed, String... vms) {
    this(seed, false, vms);
  }

  /** Forms a cluster that other VMs may join if it is open. */
  SimulatedCluster(long seed, boolean open, String... vms) {
    this(seed, open, TIMING, vms);
  }

  /** Forms a cluster with other times than the short ones of most tests. */
  SimulatedCluster(long seed, boolean open, Timing timing, String... vms) {
    this.random = new Random(seed);
    this.timing = timing;
    this.initialMembers = List.of(vms);
    this.open = open;
    for (String vm : vms) {
      nodes.put(vm, new Node(vm, initialMembers));
      start(vm);
    }
  }

  long now() {
    return now;
  }

  void start(String vm) {
    Node node = nodes.get(vm);
    node.core =
        new ReplicaCore(
            new ReplicaId(vm, node.diskId), membership(node), node.disk, timing, random, now);
    node.appliedIndex = node.disk.snapshot().index();
    handleOutputs(node);
  }

  private Membership membership(Node node) {
    return open
        ? new Membership(
            initialMembers.contains(node.vm) ? initialMembers : List.of(), node.seeds, true)
        : Membership.fixed(initialMembers);
  }

  /** Adds a VM with a blank disk that has the initial members as seeds. */
  void add(String vm) {
    add(vm, initialMembers);
  }

  /** Adds a VM with a blank disk that knows only the given VMs. */
  void add(String vm, List<String> seeds) {
    nodes.put(vm, new Node(vm, seeds));
    start(vm);
  }

  void kill(String vm) {
    nodes.get(vm).core = null;
  }

  void wipe(String vm) {
    Node node = nodes.get(vm);
    kill(vm);
    node.disk = StoredState.blank();
    node.diskId++;
  }

  /** Drops messages from one VM to another, in this direction only. */
  void cut(String from, String to) {
    cutLinks.add(from + ">" + to);
  }

  void isolate(String vm) {
    for (String other : nodes.keySet()) {
      cut(vm, other);
      cut(other, vm);
    }
  }

  void restoreLinks() {
    cutLinks.clear();
  }

  void run(long millis) {
    for (long t = 0; t < TimeUnit.MILLISECONDS.toNanos(millis); t += STEP_NANOS) {
      step();
    }
  }

  void step() {
    now += STEP_NANOS;
    List<InFlightMessage> due = new ArrayList<>();
    inFlight.removeIf(
        delivery -> {
          if (delivery.deliveryTime > now || !runsNow(delivery.message.to().vm())) {
            return false;
          }
          due.add(delivery);
          return true;
        });
    for (InFlightMessage delivery : due) {
      Node node = nodes.get(delivery.message.to().vm());
      if (node != null && node.core != null) {
        node.core.receive(delivery.message, now);
        handleOutputs(node);
      }
    }
    for (Node node : nodes.values()) {
      if (node.core != null && runsNow(node.vm)) {
        node.core.tick(now);
        node.core.flush(now);
        handleOutputs(node);
      }
    }
    checkLeases();
  }

  private boolean runsNow(String vm) {
    long period = TimeUnit.MILLISECONDS.toNanos(slowVms.getOrDefault(vm, 0L));
    return period == 0 || now % period < STEP_NANOS;
  }

  void propose(String vm, long operationId) {
    Node node = nodes.get(vm);
    if (node.core != null) {
      node.core.propose(
          operationId, Long.toString(operationId).getBytes(StandardCharsets.US_ASCII));
      node.core.flush(now);
      handleOutputs(node);
    }
  }

  @Nullable Node leader() {
    Node best = null;
    for (Node node : nodes.values()) {
      if (node.core != null && node.core.role() == Role.LEADER) {
        if (best == null || best.core == null || node.core.term() > best.core.term()) {
          best = node;
        }
      }
    }
    return best;
  }

  Node awaitLeader() {
    for (int i = 0; i < 2_000; i++) {
      Node leader = leader();
      if (leader != null && leader.core != null && leader.core.commitIndex() > 0) {
        return leader;
      }
      step();
    }
    throw new AssertionError("no leader after 20 s of simulated time");
  }

  ReplicaCore core(String vm) {
    ReplicaCore core = nodes.get(vm).core;
    if (core == null) {
      throw new AssertionError(vm + " does not run");
    }
    return core;
  }

  private void handleOutputs(Node node) {
    ReplicaCore core = node.core;
    if (core == null) {
      return;
    }
    for (Output output : core.takeOutputs()) {
      if (output instanceof Output.Save save) {
        node.disk = applySave(node.disk, save);
      } else if (output instanceof Output.Send send) {
        send(send.message());
      } else if (output instanceof Output.Apply apply) {
        recordApplied(node, apply.entry());
      } else if (output instanceof Output.Restore restore) {
        node.appliedIndex = restore.snapshot().index();
      } else {
        results.add(output);
      }
    }
    if (core.role() == Role.LEADER) {
      ReplicaId other = leaders.putIfAbsent(core.term(), core.self());
      if (other != null && !other.equals(core.self())) {
        throw new AssertionError("two leaders in term " + core.term());
      }
    }
  }

  private void recordApplied(Node node, LogEntry entry) {
    if (entry.index() != node.appliedIndex + 1) {
      throw new AssertionError(
          node.vm + " skips from " + node.appliedIndex + " to " + entry.index());
    }
    node.appliedIndex = entry.index();
    LogEntry known = committed.putIfAbsent(entry.index(), entry);
    if (known != null && known.term() != entry.term()) {
      throw new AssertionError(
          "committed entry "
              + entry.index()
              + " of term "
              + known.term()
              + " was lost on "
              + node.vm);
    }
  }

  private void checkLeases() {
    int holders = 0;
    for (Node node : nodes.values()) {
      if (node.core != null && node.core.leaseDeadline(now) > now) {
        holders++;
      }
    }
    if (holders > 1) {
      throw new AssertionError("two replicas hold a lease at once");
    }
  }

  private void send(ReplicaMessage message) {
    boolean blocked = cutLinks.contains(message.from().vm() + ">" + message.to().vm());
    if (blocked || random.nextDouble() < lossProbability) {
      return;
    }
    int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      inFlight.add(
          new InFlightMessage(message, now + 1 + (long) (random.nextDouble() * maxDelayNanos)));
    }
  }

  private static StoredState applySave(StoredState disk, Output.Save save) {
    if (save instanceof Output.SaveVote vote) {
      return new StoredState(
          disk.clusterId(), vote.term(), vote.votedFor(), disk.snapshot(), disk.entries());
    }
    if (save instanceof Output.SaveSnapshot s) {
      return new StoredState(s.clusterId(), disk.term(), disk.votedFor(), s.snapshot(), List.of());
    }
    List<LogEntry> entries = new ArrayList<>(disk.entries());
    for (LogEntry entry : ((Output.SaveEntries) save).entries()) {
      int at = (int) (entry.index() - disk.snapshot().index() - 1);
      entries.subList(at, entries.size()).clear();
      entries.add(entry);
    }
    return new StoredState(
        disk.clusterId(), disk.term(), disk.votedFor(), disk.snapshot(), List.copyOf(entries));
  }
}
