package org.clementinesail.core.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that what was committed survives the loss of a disk right after a VM was replaced. */
public class ReplicaReplacementTest {
  private static final int JOIN_MILLIS = 3_000;
  private static final int RECOVERY_MILLIS = 6_000;
  private static final int CATCH_UP_MILLIS = 4_000;

  /** Seeds of random election timeouts and message delays. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
  }

  private static SimulatedCluster cluster(long seed, String... vms) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, vms);
    cluster.lossProbability = 0.02;
    cluster.run(JOIN_MILLIS);
    return cluster;
  }

  /** Stops a VM as planned: it ends as soon as it may. */
  private static void stop(SimulatedCluster cluster, String vm) {
    cluster.core(vm).leave(cluster.now());
    for (int i = 0; i < 200 && !cluster.core(vm).hasLeft(); i++) {
      cluster.step();
    }
    assertTrue(cluster.core(vm).hasLeft(), vm + " waits in vain");
    cluster.kill(vm);
  }

  private static String follower(SimulatedCluster cluster) {
    String leader = cluster.awaitLeader().vm;
    return leader.equals("a") ? "b" : "a";
  }

  /** Commits a command, wipes the leader that accepted it, and checks that it is kept. */
  private static void assertKeptWhenLeaderIsWiped(SimulatedCluster cluster) {
    cluster.propose(cluster.awaitLeader().vm, 7);
    cluster.run(200);
    long committed = cluster.committed.size();
    String leader = cluster.awaitLeader().vm;
    cluster.wipe(leader);
    cluster.run(300);
    cluster.start(leader);
    cluster.run(RECOVERY_MILLIS);
    assertTrue(cluster.awaitLeader().core.commitIndex() >= committed);
  }

  /** Guards against a stopped VM that still counts when the next disk is lost (review/7). */
  @Test(dataProvider = "seeds")
  public void stoppedVmCountsNoLongerWhenADiskIsLost(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    cluster.add("d");
    cluster.run(JOIN_MILLIS);
    stop(cluster, follower(cluster));
    assertKeptWhenLeaderIsWiped(cluster);
  }

  /** The same if the VM that stops leads. */
  @Test(dataProvider = "seeds")
  public void stoppedLeaderCountsNoLongerWhenADiskIsLost(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    cluster.add("d");
    cluster.run(JOIN_MILLIS);
    stop(cluster, cluster.awaitLeader().vm);
    assertKeptWhenLeaderIsWiped(cluster);
  }

  /** The same if the VM stops while its successor still receives the log. */
  @Test(dataProvider = "seeds")
  public void vmThatStopsWaitsForItsSuccessor(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    cluster.add("d");
    cluster.run(150);
    stop(cluster, follower(cluster));
    cluster.run(1_000);
    assertKeptWhenLeaderIsWiped(cluster);
  }

  /** Two of five VMs stop one after the other, then as many disks are lost as five bear. */
  @Test(dataProvider = "seeds")
  public void twoStoppedVmsCountNoLongerWhenTwoDisksAreLost(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c", "d", "e");
    cluster.add("f");
    cluster.add("g");
    cluster.run(JOIN_MILLIS);
    stop(cluster, "d");
    stop(cluster, "e");
    cluster.propose(cluster.awaitLeader().vm, 7);
    cluster.run(200);
    long committed = cluster.committed.size();
    List<String> lost = List.of("a", "b");
    lost.forEach(cluster::wipe);
    cluster.run(300);
    lost.forEach(cluster::start);
    cluster.run(RECOVERY_MILLIS);
    assertTrue(cluster.awaitLeader().core.commitIndex() >= committed);
  }

  /**
   * Guards against a VM that was lost unplanned beside its successor and still counts when a disk
   * is lost at once: of four voters one is silent and one is back without its disk.
   */
  @Test(dataProvider = "seeds")
  public void twoOfFourVotersGoOnAfterADiskIsLost(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    cluster.add("d");
    cluster.run(JOIN_MILLIS);
    cluster.kill(follower(cluster));
    assertKeptWhenLeaderIsWiped(cluster);
  }

  /** The same if all VMs lose power at that moment, so that none knows what is committed. */
  @Test(dataProvider = "seeds")
  public void twoOfFourVotersGoOnAfterALossOfPower(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    cluster.add("d");
    cluster.run(JOIN_MILLIS);
    cluster.propose(cluster.awaitLeader().vm, 7);
    cluster.run(200);
    long committed = cluster.committed.size();
    String leader = cluster.awaitLeader().vm;
    String silent = follower(cluster);
    cluster.nodes.keySet().forEach(cluster::kill);
    cluster.wipe(leader);
    cluster.nodes.keySet().stream().filter(vm -> !vm.equals(silent)).forEach(cluster::start);
    cluster.run(RECOVERY_MILLIS);
    assertTrue(cluster.awaitLeader().core.commitIndex() >= committed);
  }

  /** Two of four voters do not go on beside two that are only silent. */
  @Test(dataProvider = "seeds")
  public void halfOfTheVotersWaitForSilentOnes(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    cluster.add("d");
    cluster.run(JOIN_MILLIS);
    cluster.kill("a");
    cluster.kill("b");
    cluster.run(RECOVERY_MILLIS);
    SimulatedCluster.Node leader = cluster.leader();
    assertEquals(leader == null ? "nobody" : leader.vm, "nobody");
  }

  /** A VM that restarts with no successor beside it stops at once and votes again. */
  @Test(dataProvider = "seeds")
  public void plannedRestartKeepsTheVoters(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    String vm = follower(cluster);
    stop(cluster, vm);
    cluster.run(500);
    cluster.start(vm);
    cluster.run(JOIN_MILLIS);
    assertEquals(cluster.core(cluster.awaitLeader().vm).config().voters().size(), 3);
    assertTrue(cluster.core(vm).leader().isPresent(), vm + " follows nobody");
  }

  /**
   * Of four or five VMs the one that restarts leaves, and is a voter again soon after its return.
   */
  @Test(dataProvider = "seeds")
  public void plannedRestartOfOneOfMoreThanThreeVoters(long seed) {
    for (int voters = 4; voters <= 5; voters++) {
      SimulatedCluster cluster = cluster(seed, "a", "b", "c");
      for (String vm : List.of("d", "e").subList(0, voters - 3)) {
        cluster.add(vm);
      }
      cluster.run(JOIN_MILLIS);
      String vm = follower(cluster);
      stop(cluster, vm);
      assertEquals(voterCount(cluster), voters - 1);
      cluster.run(500);
      cluster.start(vm);
      cluster.run(JOIN_MILLIS);
      assertEquals(voterCount(cluster), voters);
    }
  }

  private static int voterCount(SimulatedCluster cluster) {
    return cluster.core(cluster.awaitLeader().vm).config().voters().size();
  }

  /** All VMs stop at the same time; none waits for one that has ended. */
  @Test(dataProvider = "seeds")
  public void allVmsStop(long seed) {
    SimulatedCluster cluster = cluster(seed, "a", "b", "c");
    cluster.nodes.keySet().forEach(vm -> cluster.core(vm).leave(cluster.now()));
    cluster.run(1_000);
    long waiting =
        cluster.nodes.keySet().stream().filter(vm -> !cluster.core(vm).hasLeft()).count();
    assertTrue(waiting <= 1, waiting + " VMs wait for the others");
  }

  /** Which VM is lost, and how long after its successor has started that one has its first step. */
  @DataProvider
  public Object[][] lostVms() {
    List<Object[]> cases = new ArrayList<>();
    for (long seed = 1; seed <= 20; seed++) {
      for (int startMillis : List.of(300, 2_000)) {
        cases.add(new Object[] {seed, true, startMillis});
        cases.add(new Object[] {seed, false, startMillis});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /**
   * Guards against a lost VM, the leader above all, that still counts when its successor has had
   * the time to catch up that the settings state, here 4 s, though that one was slow to start.
   */
  @Test(dataProvider = "lostVms")
  public void successorCountsWithinItsTimeToCatchUp(long seed, boolean leader, int startMillis) {
    Timing timing =
        new Timing(
                TimeUnit.MILLISECONDS.toNanos(200),
                TimeUnit.MILLISECONDS.toNanos(1_000),
                TimeUnit.MILLISECONDS.toNanos(1_800),
                10)
            .withReplacement(TimeUnit.MILLISECONDS.toNanos(CATCH_UP_MILLIS / 2));
    SimulatedCluster cluster = new SimulatedCluster(seed, true, timing, "a", "b", "c");
    cluster.lossProbability = 0.02;
    cluster.run(RECOVERY_MILLIS);
    String lost = leader ? cluster.awaitLeader().vm : follower(cluster);
    cluster.kill(lost);
    cluster.run(1_000 + startMillis);
    cluster.add("d");
    cluster.run(CATCH_UP_MILLIS - startMillis);
    List<String> voters =
        cluster.core(cluster.awaitLeader().vm).config().voters().stream()
            .map(ReplicaId::vm)
            .toList();
    assertEquals(voters.size(), 3, voters.toString());
    assertTrue(voters.contains("d") && !voters.contains(lost), voters.toString());
  }
}
