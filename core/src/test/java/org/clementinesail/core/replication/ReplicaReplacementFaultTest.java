package org.clementinesail.core.replication;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replaces VMs in a random way, one after the other, and right after each replacement loses as many
 * disks as the cluster is to bear; messages are lost, late and repeated.
 *
 * <p>More seeds by hand: {@code mvn -pl core test -Dtest=ReplicaReplacementFaultTest
 * -Dreplacement.seeds=500}.
 */
public final class ReplicaReplacementFaultTest {
  private static final int DEFAULT_SEEDS = 40;
  private static final int ROUNDS = 6;

  /** A seed with three split votes in a row, so that the successor came too late. */
  private static final long THREE_SPLIT_VOTES = 257;

  private static final int RECOVERY_MILLIS = 6_000;

  /** The time that a successor has to catch up: twice the silence after which a voter is lost. */
  private static final long CATCH_UP_MILLIS =
      2 * TimeUnit.NANOSECONDS.toMillis(SimulatedCluster.TIMING.replacementNanos());

  /** How a VM is replaced. */
  private enum Replacement {
    SUCCESSOR_THEN_STOP,
    SUCCESSOR_THEN_KILL,
    STOP_THEN_SUCCESSOR,
    KILL_THEN_SUCCESSOR
  }

  /** Seeds with sizes of clusters. */
  @DataProvider
  public Object[][] seeds() {
    int count = Integer.getInteger("replacement.seeds", DEFAULT_SEEDS);
    Object[][] seeds = new Object[2 * count + 1][];
    seeds[2 * count] = new Object[] {THREE_SPLIT_VOTES, 3};
    for (int i = 0; i < count; i++) {
      seeds[2 * i] = new Object[] {i + 1L, 3};
      seeds[2 * i + 1] = new Object[] {i + 1L, 5};
    }
    return seeds;
  }

  /** No committed entry is lost, and a leader holds all of them again. */
  @Test(dataProvider = "seeds")
  public void disksLostAfterReplacementLoseNothing(long seed, int size) {
    List<String> events = new ArrayList<>();
    try {
      new Replacements(seed, size, events).run();
    } catch (AssertionError e) {
      throw new AssertionError("seed " + seed + ", size " + size + ": " + events, e);
    }
  }

  private static final class Replacements {
    private final Random random;
    private final SimulatedCluster cluster;
    private final int tolerated;
    private final List<String> running = new ArrayList<>();
    private final List<String> events;
    private int nextVm;
    private long nextOperation = 1;

    Replacements(long seed, int size, List<String> events) {
      this.random = new Random(seed);
      this.events = events;
      this.tolerated = size / 2;
      for (int i = 0; i < size; i++) {
        running.add("v" + nextVm++);
      }
      this.cluster = new SimulatedCluster(seed, true, running.toArray(new String[0]));
    }

    void run() {
      cluster.awaitLeader();
      cluster.run(CATCH_UP_MILLIS);
      cluster.lossProbability = random.nextDouble() * 0.02;
      cluster.duplicateProbability = random.nextDouble() * 0.05;
      cluster.maxDelayNanos = TimeUnit.MILLISECONDS.toNanos(20 + random.nextInt(20));
      for (int round = 0; round < ROUNDS; round++) {
        replace(pick(Replacement.values()));
        commit();
        List<String> lost = loseDisks();
        cutOff(lost);
        cluster.run(RECOVERY_MILLIS + CATCH_UP_MILLIS);
        checkRecovered();
      }
    }

    private <T> T pick(T[] values) {
      return values[random.nextInt(values.length)];
    }

    private void replace(Replacement how) {
      String old = running.get(random.nextInt(running.size()));
      boolean leads = cluster.awaitLeader().vm.equals(old);
      events.add(how + " " + old + (leads ? " (leader)" : ""));
      switch (how) {
        case SUCCESSOR_THEN_STOP -> {
          addSuccessor(old);
          cluster.run(CATCH_UP_MILLIS);
          stop(old);
        }
        case SUCCESSOR_THEN_KILL -> {
          addSuccessor(old);
          cluster.run(CATCH_UP_MILLIS);
          remove(old);
        }
        case STOP_THEN_SUCCESSOR -> {
          stop(old);
          cluster.run(random.nextInt(1_000));
          addSuccessor(old);
          cluster.run(CATCH_UP_MILLIS);
        }
        default -> {
          remove(old);
          cluster.run(random.nextInt(1_000));
          addSuccessor(old);
          cluster.run(CATCH_UP_MILLIS);
        }
      }
      cluster.run(random.nextInt(4) * 100L);
    }

    /** Adds a VM with up to three seeds that run, of which none need lead. */
    private void addSuccessor(String old) {
      List<String> seeds = new ArrayList<>(running);
      seeds.remove(old);
      Collections.shuffle(seeds, random);
      String vm = "v" + nextVm++;
      cluster.add(vm, firstThree(seeds));
      running.add(vm);
    }

    private void stop(String vm) {
      cluster.core(vm).leave(cluster.now());
      for (int i = 0; i < 100 && !cluster.core(vm).hasLeft(); i++) {
        cluster.step();
      }
      remove(vm);
    }

    private void remove(String vm) {
      cluster.nodes.remove(vm);
      running.remove(vm);
    }

    /** Commits a command at once or, if nobody leads yet, as soon as somebody does. */
    private void commit() {
      long before = cluster.committed.size();
      for (int i = 0; i < 600 && cluster.committed.size() == before; i++) {
        cluster.propose(cluster.awaitLeader().vm, nextOperation++);
        cluster.run(50);
      }
      assertTrue(cluster.committed.size() > before, "nothing is committed");
    }

    /**
     * Sometimes cuts off a VM that keeps its disk, such as a leader that does not learn of the
     * loss, while the others go on or try to.
     */
    private void cutOff(List<String> lost) {
      if (random.nextInt(3) > 0) {
        return;
      }
      List<String> others = new ArrayList<>(running);
      others.removeAll(lost);
      String vm = others.get(random.nextInt(others.size()));
      events.add(vm + " cut off");
      cluster.isolate(vm);
      for (int i = 0; i < 20; i++) {
        running.forEach(each -> cluster.propose(each, nextOperation++));
        cluster.run(random.nextInt(200));
      }
      cluster.restoreLinks();
    }

    private List<String> loseDisks() {
      List<String> lost = new ArrayList<>(running);
      Collections.shuffle(lost, random);
      lost = lost.subList(0, tolerated);
      events.add("disks lost: " + lost);
      lost.forEach(cluster::wipe);
      if (random.nextBoolean()) {
        events.add("all others killed");
        List<String> others = new ArrayList<>(running);
        others.removeAll(lost);
        others.forEach(cluster::kill);
        others.forEach(cluster::start);
      }
      cluster.run(random.nextInt(1_000));
      for (String vm : lost) {
        // The settings of a VM that starts again name VMs that run at that time.
        List<String> seeds = new ArrayList<>(running);
        Collections.shuffle(seeds, random);
        cluster.nodes.get(vm).seeds = firstThree(seeds);
        cluster.start(vm);
      }
      return lost;
    }

    private static List<String> firstThree(List<String> vms) {
      return List.copyOf(vms.subList(0, Math.min(3, vms.size())));
    }

    private void checkRecovered() {
      long committed = Collections.max(cluster.committed.keySet());
      SimulatedCluster.Node leader = cluster.awaitLeader();
      assertTrue(cluster.core(leader.vm).commitIndex() >= committed, leader.vm + " lacks entries");
      for (String vm : running) {
        ReplicaCore core = cluster.core(vm);
        assertTrue(core.role() != Role.BLANK, vm + " is blank");
        assertTrue(
            cluster.core(leader.vm).config().voters().contains(core.self()), vm + " is no voter");
      }
    }
  }
}
