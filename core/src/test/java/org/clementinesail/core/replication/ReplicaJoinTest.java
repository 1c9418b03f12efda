package org.clementinesail.core.replication;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a VM without state becomes a voter whichever message on its way is lost. */
public class ReplicaJoinTest {
  private static final int FORMATION_MILLIS = 3_000;
  private static final int JOIN_MILLIS = 4_000;

  /** Seeds of random election timeouts and message delays. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
  }

  private static SimulatedCluster cluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, "a", "b", "c", "d", "e");
    cluster.run(FORMATION_MILLIS);
    return cluster;
  }

  private static List<String> followers(SimulatedCluster cluster) {
    List<String> followers = new ArrayList<>(cluster.nodes.keySet());
    followers.remove(cluster.awaitLeader().vm);
    return followers;
  }

  private static void assertIsVoter(SimulatedCluster cluster, String vm) {
    assertTrue(
        cluster.core(cluster.awaitLeader().vm).config().voters().stream()
            .anyMatch(voter -> voter.vm().equals(vm)),
        vm + " is no voter");
    assertTrue(cluster.core(vm).role() != Role.BLANK, vm + " has no state");
  }

  /** Guards against a VM that stays blank because its first snapshot was lost (review/6). */
  @Test(dataProvider = "seeds")
  public void snapshotSentBeforeThereIsAConnectionIsRepeated(long seed) {
    SimulatedCluster cluster = cluster(seed);
    String leader = cluster.awaitLeader().vm;
    List<String> followers = followers(cluster);
    cluster.cut(leader, "f");
    cluster.add("f", followers);
    cluster.run(700);
    cluster.restoreLinks();
    cluster.run(JOIN_MILLIS);
    assertIsVoter(cluster, "f");
  }

  /** Guards against a leader that counts on the Hellos of a blank member, which are lost too. */
  @Test(dataProvider = "seeds")
  public void snapshotIsRepeatedWithoutFurtherHellos(long seed) {
    SimulatedCluster cluster = cluster(seed);
    String leader = cluster.awaitLeader().vm;
    List<String> followers = followers(cluster);
    cluster.cut(leader, "f");
    cluster.add("f", followers);
    cluster.run(300);
    followers.forEach(vm -> cluster.cut("f", vm));
    cluster.run(700);
    cluster.cutLinks.remove(leader + ">f");
    cluster.run(JOIN_MILLIS);
    assertIsVoter(cluster, "f");
  }

  /** Guards against a new leader that takes a blank member for one with state. */
  @Test(dataProvider = "seeds")
  public void blankMemberGetsStateFromTheNextLeader(long seed) {
    SimulatedCluster cluster = cluster(seed);
    String leader = cluster.awaitLeader().vm;
    cluster.cut(leader, "f");
    cluster.add("f", followers(cluster));
    cluster.run(500);
    cluster.kill(leader);
    cluster.run(JOIN_MILLIS);
    assertIsVoter(cluster, "f");
  }

  /** Guards against a seed that passes on only the first Hello of a blank VM. */
  @Test(dataProvider = "seeds")
  public void blankMemberIsServedThroughASeedThatFollows(long seed) {
    SimulatedCluster cluster = cluster(seed);
    String leader = cluster.awaitLeader().vm;
    String seedVm = followers(cluster).get(0);
    cluster.cut(leader, "f");
    cluster.add("f", List.of(seedVm));
    cluster.run(500);
    cluster.kill("f");
    cluster.run(1_000);
    cluster.restoreLinks();
    cluster.start("f");
    cluster.run(JOIN_MILLIS);
    assertIsVoter(cluster, "f");
  }

  /**
   * Guards against a VM that never rejoins after the loss of its disk because all other seeds have
   * been replaced (review/8).
   */
  @Test(dataProvider = "seeds")
  public void wipedVmRejoinsAlthoughItsSeedsAreGone(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, true, "a", "b", "c");
    cluster.run(FORMATION_MILLIS);
    cluster.kill("a");
    cluster.add("d", List.of("b", "c"));
    cluster.run(2 * JOIN_MILLIS);
    cluster.kill("b");
    cluster.add("e", List.of("c", "d"));
    cluster.run(2 * JOIN_MILLIS);
    cluster.wipe("c");
    cluster.run(1_000);
    cluster.start("c");
    cluster.run(JOIN_MILLIS);
    assertIsVoter(cluster, "c");
  }

  /** Joins while a quarter of all messages is lost and some are late or repeated. */
  @Test(dataProvider = "seeds")
  public void joinsOverALossyNetwork(long seed) {
    SimulatedCluster cluster = cluster(seed);
    cluster.lossProbability = 0.25;
    cluster.duplicateProbability = 0.1;
    cluster.maxDelayNanos = 40_000_000;
    cluster.add("f", followers(cluster));
    cluster.run(3 * JOIN_MILLIS);
    cluster.lossProbability = 0;
    cluster.run(1_000);
    assertIsVoter(cluster, "f");
  }
}
