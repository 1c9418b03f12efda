package org.clementinesail.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests rule files and replicas while VMs are killed, frozen, isolated or lose their disk. */
public final class ControlFailureTest {
  private TestCluster cluster;

  /** Starts three VMs. */
  @BeforeMethod
  public void start() throws Exception {
    cluster = new TestCluster(3);
    cluster.submitRules(1, "");
    cluster.awaitReady();
  }

  /** Ends all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    cluster.close();
  }

  private static String rules(long number, String who) {
    return "number " + number + " # " + who + "\n" + TestCluster.RULES;
  }

  private long rulesInForce(String vm) {
    try {
      for (JsonNode row : cluster.status(vm).path("vms")) {
        if (row.path("vm").asText().equals(vm)) {
          return row.path("rules_in_force").asLong();
        }
      }
      return -1;
    } catch (IOException e) {
      return -1;
    }
  }

  private List<String> others(String vm) {
    return cluster.vms().stream().filter(other -> !other.equals(vm)).toList();
  }

  private void awaitRulesInForce(long number, List<String> vms) {
    long startedAt = System.nanoTime();
    for (String vm : vms) {
      TestCluster.await("file " + number + " in force on " + vm, () -> rulesInForce(vm) >= number);
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    System.out.println("measured: in force on " + vms.size() + " VMs after ms " + millis);
  }

  /** The leader is killed: the next rule file is accepted, and the restarted VM gets it. */
  @Test
  public void leaderIsKilled() throws Exception {
    String leader = cluster.awaitLeader();
    long killedAt = System.nanoTime();
    cluster.programs.get(leader).kill();
    cluster.submitRules(2, "");
    System.out.println(
        "measured: accepted again after kill of the leader, ms "
            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killedAt));
    awaitRulesInForce(2, others(leader));
    cluster.programs.get(leader).restart();
    awaitRulesInForce(2, List.of(leader));
  }

  /**
   * A leader is frozen past its lease, another leader accepts file 2, and the first is thawed: it
   * reports a conflict for its own file 2 and applies the accepted one.
   */
  @Test
  public void leaderIsFrozenAndThawed() throws Exception {
    String leader = cluster.awaitLeader();
    cluster.programs.get(leader).freeze();
    TestCluster.await(
        "another leader",
        () -> !others(leader).stream().allMatch(vm -> knowsNoOtherLeader(vm, leader)));
    String other = others(leader).get(0);
    TestCluster.await(
        "file 2 is accepted",
        () -> {
          try {
            return cluster.submit(other, rules(2, "aled"), "aled").status() == 200;
          } catch (IOException e) {
            return false;
          }
        });
    cluster.programs.get(leader).thaw();
    TestCluster.Answer late = cluster.submit(leader, rules(2, "gwen"), "gwen");
    assertEquals(late.json().path("verdict").asText(), "conflict", late.body());
    assertEquals(late.json().path("winner_operator").asText(), "aled");
    awaitRulesInForce(2, cluster.vms());
  }

  private boolean knowsNoOtherLeader(String asked, String leader) {
    try {
      String known = cluster.status(asked).path("control").path("leader").asText();
      return known.isEmpty() || known.equals(leader);
    } catch (IOException e) {
      return true;
    }
  }

  /**
   * A VM is isolated from the others, with its connections open, but not from its callers: within
   * seconds it admits no requests, and after reconnection it applies the rule file that was
   * accepted meanwhile.
   */
  @Test
  public void vmIsIsolated() throws Exception {
    String isolated = cluster.awaitLeader();
    cluster.startShop("shop", 1);
    TestCluster.await("the shop is known", () -> cluster.aliveTargets(isolated) == 1);
    cluster.isolate(isolated);
    TestCluster.await("a file is accepted", () -> accepted(others(isolated).get(0), 2));
    long acceptedAt = System.nanoTime();
    TestCluster.await("the isolated VM is not ready", () -> !cluster.ready(isolated));
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedAt);
    System.out.println("measured: isolated VM not ready after ms " + millis);
    TestCluster.Answer refused = cluster.placeOrder(isolated, "k", "{}");
    assertEquals(refused.outcome(), "not-run");
    assertEquals(rulesInForce(isolated), 1);
    assertEquals(cluster.runCount("shop", "{}"), 0);
    cluster.reconnectAll();
    awaitRulesInForce(2, List.of(isolated));
    TestCluster.await("ready again", () -> cluster.ready(isolated));
  }

  private boolean accepted(String vm, long number) {
    try {
      return cluster.submit(vm, rules(number, "tests"), "tests").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Open connections between VMs stall while new ones work: all VMs get the next rule file. */
  @Test
  public void openConnectionsStall() throws Exception {
    cluster.stallOpenPeerConnections();
    cluster.submitRules(2, "");
    awaitRulesInForce(2, cluster.vms());
  }

  /** Two operators submit files with the same number on two VMs: one is accepted, one conflicts. */
  @Test
  public void operatorsSubmitSameNumber() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(2);
    for (long number = 2; number < 12; number++) {
      long n = number;
      List<Callable<TestCluster.Answer>> races =
          List.of(
              () -> cluster.submit("vm-1", rules(n, "gwen"), "gwen"),
              () -> cluster.submit("vm-2", rules(n, "aled"), "aled"));
      List<String> verdicts = new ArrayList<>();
      for (Future<TestCluster.Answer> answer : threads.invokeAll(races)) {
        verdicts.add(answer.get().json().path("verdict").asText());
      }
      verdicts.sort(null);
      assertEquals(verdicts, List.of("accepted", "conflict"), "number " + n);
    }
    threads.shutdown();
  }

  /**
   * A file that is repeated after a newer file, a change of leader and a restart of all VMs gets
   * its first verdict again; the newer file stays in force.
   */
  @Test
  public void fileIsResubmitted() throws Exception {
    String first = rules(2, "gwen");
    assertEquals(cluster.submit("vm-1", first, "gwen").json().path("verdict").asText(), "accepted");
    cluster.submitRules(3, "");
    String leader = cluster.awaitLeader();
    cluster.programs.get(leader).kill();
    String other = others(leader).get(0);
    TestCluster.await("the first verdict again", () -> verdict(other, first).equals("accepted"));
    for (String vm : others(leader)) {
      cluster.programs.get(vm).kill();
    }
    for (String vm : cluster.vms()) {
      cluster.programs.get(vm).restart();
    }
    cluster.awaitReady();
    TestCluster.await("the first verdict again", () -> verdict(other, first).equals("accepted"));
    awaitRulesInForce(3, cluster.vms());
    assertEquals(rulesInForce(other), 3);
  }

  private String verdict(String vm, String text) {
    try {
      return cluster.submit(vm, text, "gwen").json().path("verdict").asText();
    } catch (IOException e) {
      return "";
    }
  }

  /** A disk is lost; right after its repair is reported as done, a second VM is killed. */
  @Test
  public void secondVmIsKilledAfterDiskRepair() throws Exception {
    for (long number = 2; number <= 6; number++) {
      cluster.submitRules(number, "");
    }
    String leader = cluster.awaitLeader();
    String lost = others(leader).get(0);
    cluster.programs.get(lost).kill();
    cluster.deleteData(lost);
    long restartedAt = System.nanoTime();
    cluster.programs.get(lost).restart();
    TestCluster.await("the repair is done", () -> repaired(leader, lost));
    System.out.println(
        "measured: repair of a lost disk from the start of the process, ms "
            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - restartedAt));
    cluster.programs.get(leader).kill();
    String next = others(leader).get(1);
    TestCluster.await(
        "another leader", () -> !cluster.leader().isEmpty() && !cluster.leader().equals(leader));
    assertNotEquals(cluster.leader(), leader);
    awaitRulesInForce(6, List.of(lost, next));
    TestCluster.await("a file is accepted", () -> accepted(next, 7));
    awaitRulesInForce(7, List.of(lost, next));
  }

  private boolean repaired(String leader, String lost) {
    try {
      JsonNode control = cluster.status(leader).path("control");
      boolean voter = false;
      for (JsonNode vm : control.path("voters")) {
        voter |= vm.asText().equals(lost);
      }
      long accepted = control.path("accepted_index").asLong();
      return voter
          && control.path("learners").isEmpty()
          && accepted > 0
          && isFollower(leader, lost);
    } catch (IOException e) {
      return false;
    }
  }

  private boolean isFollower(String leader, String lost) throws IOException {
    for (JsonNode vm : cluster.status(leader).path("vms")) {
      if (vm.path("vm").asText().equals(lost)) {
        return vm.path("replica").asText().equals("follower");
      }
    }
    return false;
  }

  /**
   * Two of three replicas are killed: no file is accepted, and the last VM stays ready under its
   * last rules; an order with a key is not run, and its outcome is unknown.
   */
  @Test
  public void majorityIsKilled() throws Exception {
    cluster.startShop("shop", 1);
    TestCluster.await("the shop is known", () -> cluster.aliveTargets("vm-3") == 1);
    cluster.programs.get("vm-1").kill();
    cluster.programs.get("vm-2").kill();
    TimeUnit.SECONDS.sleep(7);
    assertTrue(
        cluster.ready("vm-3"),
        "not ready, though two replicas refuse connections, so no file can be accepted");
    TestCluster.Answer order = cluster.placeOrder("vm-3", "k", "{}");
    assertEquals(order.outcome(), "unknown", "an earlier attempt may have run: " + order.body());
    assertEquals(cluster.runCount("shop", "{}"), 0);
    assertFalse(accepted("vm-3", 2));
  }
}
