package org.clementinesail.core.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Objects;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests VMs that join an open cluster, replace failed ones and rejoin. */
public class ReplicaMembershipTest {
  private static final int RECONFIGURATION_MILLIS = 6_000;
  private static final int REMOVAL_MILLIS = 12_000;

  /** Seeds of random election timeouts, message delays and losses. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
  }

  private static SimulatedCluster cluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, "a", "b", "c");
    cluster.lossProbability = 0.02;
    cluster.run(RECONFIGURATION_MILLIS);
    return cluster;
  }

  private static List<String> voters(SimulatedCluster cluster) {
    return cluster.nodes.values().stream()
        .map(node -> node.core)
        .filter(Objects::nonNull)
        .filter(core -> core.role() == Role.LEADER)
        .flatMap(core -> core.config().voters().stream())
        .map(ReplicaId::vm)
        .sorted()
        .distinct()
        .toList();
  }

  /** VMs beyond the initial members all become voters. */
  @Test(dataProvider = "seeds")
  public void additionalVmsBecomeVoters(long seed) {
    SimulatedCluster cluster = cluster(seed);
    cluster.add("d");
    cluster.add("e");
    cluster.run(RECONFIGURATION_MILLIS);
    assertEquals(voters(cluster), List.of("a", "b", "c", "d", "e"));
  }

  /** A VM with a new name replaces a voter that stopped permanently. */
  @Test(dataProvider = "seeds")
  public void joiningVmReplacesSilentVoter(long seed) {
    SimulatedCluster cluster = cluster(seed);
    cluster.kill("c");
    cluster.run(RECONFIGURATION_MILLIS);
    cluster.add("d");
    cluster.run(RECONFIGURATION_MILLIS);
    assertEquals(voters(cluster), List.of("a", "b", "d"));
  }

  /** A voter that stops after another VM has joined is removed later. */
  @Test(dataProvider = "seeds")
  public void silentVoterIsRemoved(long seed) {
    SimulatedCluster cluster = cluster(seed);
    cluster.add("d");
    cluster.run(RECONFIGURATION_MILLIS);
    cluster.kill("b");
    cluster.run(REMOVAL_MILLIS);
    assertEquals(voters(cluster), List.of("a", "c", "d"));
  }

  /** A VM that was isolated and replaced rejoins as a voter once it is reconnected. */
  @Test(dataProvider = "seeds")
  public void replacedVmRejoins(long seed) {
    SimulatedCluster cluster = cluster(seed);
    cluster.isolate("c");
    cluster.run(RECONFIGURATION_MILLIS);
    cluster.add("d");
    cluster.run(RECONFIGURATION_MILLIS);
    assertEquals(voters(cluster), List.of("a", "b", "d"));
    cluster.restoreLinks();
    cluster.run(RECONFIGURATION_MILLIS);
    assertTrue(voters(cluster).contains("c"), voters(cluster).toString());
  }

  /**
   * Guards against a seed that takes a VM with state, which was one of the initial members, for a
   * blank one, and so never forwards that it wants to join again.
   */
  @Test(dataProvider = "seeds")
  public void replacedVmRejoinsThroughSeedsThatFollow(long seed) {
    SimulatedCluster cluster = cluster(seed);
    String replaced = cluster.awaitLeader().vm.equals("c") ? "b" : "c";
    cluster.isolate(replaced);
    cluster.add("d");
    cluster.run(RECONFIGURATION_MILLIS);
    cluster.restoreLinks();
    String leader = cluster.awaitLeader().vm;
    cluster.cut(replaced, leader);
    cluster.run(RECONFIGURATION_MILLIS);
    ReplicaConfig config = cluster.core(leader).config();
    assertTrue(config.byVm(replaced).isPresent(), "never a member again: " + config);
  }

  /** A wiped VM forms no second cluster and becomes a voter again. */
  @Test(dataProvider = "seeds")
  public void wipedVmBecomesVoterAgain(long seed) {
    SimulatedCluster cluster = cluster(seed);
    cluster.wipe("a");
    cluster.start("a");
    cluster.run(RECONFIGURATION_MILLIS);
    assertEquals(voters(cluster), List.of("a", "b", "c"));
  }

  /**
   * A VM is replaced by a blank one, and before the lost voter is removed for its silence the
   * leader loses its disk: the two others still elect a leader, and all commands are kept.
   */
  @Test(dataProvider = "seeds")
  public void replacedVoterCountsNoLongerWhenLeaderIsWiped(long seed) {
    SimulatedCluster cluster = cluster(seed);
    String leader = cluster.awaitLeader().vm;
    String lost = leader.equals("c") ? "b" : "c";
    cluster.kill(lost);
    cluster.add("d");
    cluster.run(3_000);
    cluster.propose(cluster.awaitLeader().vm, 7);
    cluster.run(200);
    long committed = cluster.committed.size();
    String second = cluster.awaitLeader().vm;
    cluster.wipe(second);
    cluster.start(second);
    cluster.run(RECONFIGURATION_MILLIS);
    assertTrue(cluster.awaitLeader().core.commitIndex() >= committed);
  }

  /** The same with five voters and two losses at once, twice. */
  @Test(dataProvider = "seeds")
  public void twoReplacedVotersCountNoLongerWhenTwoAreWiped(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, "a", "b", "c", "d", "e");
    cluster.run(RECONFIGURATION_MILLIS);
    cluster.kill("d");
    cluster.kill("e");
    cluster.add("f");
    cluster.add("g");
    cluster.run(3_400);
    cluster.propose(cluster.awaitLeader().vm, 7);
    cluster.run(200);
    long committed = cluster.committed.size();
    for (String vm : List.of("a", "b")) {
      cluster.wipe(vm);
      cluster.start(vm);
    }
    cluster.run(RECONFIGURATION_MILLIS);
    assertTrue(cluster.awaitLeader().core.commitIndex() >= committed);
  }

  /** A leader that runs only every 200 ms, four heartbeat intervals, hands over within 3 s. */
  @Test(dataProvider = "seeds")
  public void slowLeaderHandsOver(long seed) {
    SimulatedCluster cluster = cluster(seed);
    String slow = cluster.awaitLeader().vm;
    cluster.slowVms.put(slow, 200L);
    cluster.run(3_000);
    assertNotEquals(cluster.awaitLeader().vm, slow);
    cluster.run(RECONFIGURATION_MILLIS);
    assertNotEquals(cluster.awaitLeader().vm, slow, "leads again while it is slow");
  }

  /** A slow leader without another voter goes on: there is nobody to lead instead. */
  @Test(dataProvider = "seeds")
  public void slowSoleVoterKeepsLeading(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, "a");
    cluster.run(RECONFIGURATION_MILLIS);
    cluster.slowVms.put("a", 200L);
    for (int i = 0; i < 100; i++) {
      cluster.run(30);
      assertEquals(Objects.requireNonNull(cluster.nodes.get("a").core).role(), Role.LEADER);
    }
  }

  /** Leadership is not transferred to a voter that is down, which would leave nobody leading. */
  @Test(dataProvider = "seeds")
  public void leadershipIsNotTransferredToALostVoter(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, "a", "b", "c");
    cluster.run(RECONFIGURATION_MILLIS);
    String old = cluster.awaitLeader().vm;
    cluster.kill(old.equals("a") ? "b" : "a");
    cluster.run(200);
    cluster.core(old).transferLeadership(cluster.now());
    cluster.run(150);
    SimulatedCluster.Node next = cluster.leader();
    assertNotEquals(next == null ? "nobody" : next.vm, "nobody");
    assertNotEquals(next == null ? old : next.vm, old);
  }

  /** A leader with entries that no other voter holds yet goes on until one does. */
  @Test(dataProvider = "seeds")
  public void leadershipIsTransferredOnceAVoterHoldsAllEntries(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, "a", "b", "c");
    cluster.run(RECONFIGURATION_MILLIS);
    String old = cluster.awaitLeader().vm;
    cluster.propose(old, 7);
    cluster.core(old).transferLeadership(cluster.now());
    cluster.run(250);
    SimulatedCluster.Node next = cluster.leader();
    assertNotEquals(next == null ? "nobody" : next.vm, "nobody");
    assertNotEquals(next == null ? old : next.vm, old);
  }
}
