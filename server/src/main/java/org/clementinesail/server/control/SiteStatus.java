package org.clementinesail.server.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetRecord;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;
import org.clementinesail.wire.proto.VmStatusImage;

/** Collects the status of every VM and target for operators. */
public final class SiteStatus {
  private static final Duration TIMEOUT = Duration.ofMillis(800);
  private static final double NANOS_PER_SECOND = 1e9;

  private final PeerRequests requests;
  private final String self;
  private final Supplier<Collection<String>> others;
  private final Supplier<Collection<TargetRecord>> targets;

  /**
   * Creates a collector.
   *
   * @param self name of this VM
   * @param requests sends requests
   * @param others names of the other VMs
   * @param targets the targets known to this VM
   */
  public SiteStatus(
      String self,
      PeerRequests requests,
      Supplier<Collection<String>> others,
      Supplier<Collection<TargetRecord>> targets) {
    this.self = self;
    this.requests = requests;
    this.others = others;
    this.targets = targets;
  }

  /**
   * Returns the status as JSON.
   *
   * @param mapper creates the nodes
   * @throws InterruptedException if the thread is interrupted
   */
  public ObjectNode collect(ObjectMapper mapper) throws InterruptedException {
    Map<String, CompletableFuture<Response>> answers = new LinkedHashMap<>();
    Set<String> vms = new TreeSet<>(others.get());
    vms.add(self);
    for (String vm : vms) {
      answers.put(vm, requests.send(vm, Request.newBuilder().setReadStatus(true), TIMEOUT));
    }
    ObjectNode status = mapper.createObjectNode();
    ArrayNode list = status.putArray("vms");
    VmStatusImage leader = null;
    for (Map.Entry<String, CompletableFuture<Response>> entry : answers.entrySet()) {
      ObjectNode row = list.addObject().put("vm", entry.getKey());
      try {
        VmStatusImage vm = entry.getValue().get().getStatus();
        row.put("reachable", true);
        addVm(row, vm);
        boolean leads = vm.getReplicaRole().equals("leader");
        if (leads && (leader == null || vm.getTerm() > leader.getTerm())) {
          leader = vm;
        }
      } catch (ExecutionException e) {
        row.put("reachable", false);
      }
    }
    if (leader != null) {
      addLeader(status.putObject("control"), leader);
    }
    addTargets(status.putArray("targets"));
    return status;
  }

  private static void addVm(ObjectNode row, VmStatusImage vm) {
    row.put("data_centre", vm.getDataCentre())
        .put("version", vm.getVersion())
        .put("ready", vm.getReady())
        .put("draining", vm.getDraining())
        .put("rules_in_force", vm.getRulesNumber())
        .put("requests_running", vm.getRunning())
        .put("replica", vm.getReplicaRole())
        .put("epoch", vm.getTerm())
        .put("accepted_index", vm.getCommit());
  }

  private static void addLeader(ObjectNode row, VmStatusImage leader) {
    row.put("leader", leader.getVm())
        .put("epoch", leader.getTerm())
        .put("accepted_index", leader.getCommit());
    ArrayNode voters = row.putArray("voters");
    leader.getVotersList().forEach(voters::add);
    ArrayNode learners = row.putArray("learners");
    leader.getLearnersList().forEach(learners::add);
  }

  private void addTargets(ArrayNode list) {
    long now = System.nanoTime();
    for (TargetRecord fact : targets.get()) {
      TargetDescription d = fact.description();
      ObjectNode row =
          list.addObject()
              .put("name", d.name())
              .put("serves", d.serves())
              .put("data_centre", d.dataCentre())
              .put("state", fact.leaving() ? "leaving" : "alive")
              .put("incarnation", fact.incarnation())
              .put("running", fact.load().running())
              .put("queued", fact.load().queued())
              .put("load_age_s", (now - fact.load().reportedAt()) / NANOS_PER_SECOND);
      TargetDescription.Engine engine = d.engine();
      if (engine != null) {
        row.put("layers", engine.layers().toString()).put("accelerator", engine.accelerator());
      }
    }
  }
}
