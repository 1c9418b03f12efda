package org.clementinesail.core.replication;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a cluster under random message loss, duplication, delay, stops, cut links, lost disks. */
public final class ReplicaRandomFaultTest {
  private static final int FAULT_ROUNDS = 60;

  /** Fixed seeds with cluster sizes, so that each run has the same result. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {
      {101L, 3}, {102L, 3}, {103L, 3}, {104L, 3}, {105L, 3}, {106L, 3}, {107L, 3}, {108L, 3},
      {201L, 5}, {202L, 5}, {203L, 5}, {204L, 5}
    };
  }

  /**
   * The simulated cluster checks at each step that a term has one leader, committed entries are
   * kept and at most one replica holds a lease.
   */
  @Test(dataProvider = "seeds")
  public void safetyHoldsUnderRandomFaults(long seed, int size) {
    String[] vms = List.of("a", "b", "c", "d", "e").subList(0, size).toArray(new String[0]);
    SimulatedCluster cluster = new SimulatedCluster(seed, vms);
    cluster.awaitLeader();
    Random random = new Random(seed);
    cluster.lossProbability = 0.05;
    cluster.duplicateProbability = 0.05;
    cluster.maxDelayNanos = 40_000_000;
    long operationId = 1;
    for (int round = 0; round < FAULT_ROUNDS; round++) {
      injectFault(cluster, vms, random);
      for (int i = 0; i < 10; i++) {
        for (String vm : vms) {
          cluster.propose(vm, operationId++);
        }
        cluster.run(random.nextInt(60));
      }
    }
    cluster.lossProbability = 0;
    cluster.restoreLinks();
    for (String vm : vms) {
      if (cluster.nodes.get(vm).core == null) {
        cluster.start(vm);
      }
    }
    cluster.run(10_000);
    SimulatedCluster.Node leader = cluster.awaitLeader();
    long last = cluster.core(leader.vm).commitIndex();
    assertTrue(last > FAULT_ROUNDS, "seed " + seed + ": only " + last + " entries were committed");
    for (String vm : vms) {
      assertTrue(
          cluster.core(vm).commitIndex() >= last - 1, "seed " + seed + ": " + vm + " lags behind");
    }
  }

  private static void injectFault(SimulatedCluster cluster, String[] vms, Random random) {
    cluster.restoreLinks();
    String vm = vms[random.nextInt(vms.length)];
    boolean running = cluster.nodes.get(vm).core != null;
    switch (random.nextInt(6)) {
      case 0 -> cluster.kill(vm);
      case 1 -> cluster.isolate(vm);
      case 2 -> cluster.cut(vm, vms[random.nextInt(vms.length)]);
      case 3 -> {
        if (canWipeDisk(cluster, vms)) {
          cluster.wipe(vm);
          cluster.start(vm);
        }
      }
      default -> {
        for (String each : vms) {
          if (cluster.nodes.get(each).core == null) {
            cluster.start(each);
          }
        }
      }
    }
    if (!running) {
      cluster.start(vm);
    }
  }

  /**
   * Returns whether all replicas are voters with all committed entries, so one may lose its disk.
   */
  private static boolean canWipeDisk(SimulatedCluster cluster, String[] vms) {
    SimulatedCluster.Node leader = cluster.leader();
    if (leader == null || leader.core == null) {
      return false;
    }
    ReplicaCore core = leader.core;
    for (String vm : vms) {
      ReplicaCore other = cluster.nodes.get(vm).core;
      if (other == null
          || !core.config().voters().contains(other.self())
          || other.lastIndex() < cluster.committed.size()) {
        return false;
      }
    }
    return core.config().voters().size() == vms.length;
  }
}
