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

/** Collects the status of all VMs and targets for operators. */
public final class StatusCollector {
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);
  private static final double NANOS_PER_SECOND = 1e9;

  private final PeerRequests requests;
  private final String localVm;
  private final Supplier<Collection<String>> otherVms;
  private final Supplier<Collection<TargetRecord>> targets;

  /**
   * Creates a collector.
   *
   * @param localVm name of this VM
   * @param requests client for requests to VMs
   * @param otherVms supplies the names of the other VMs
   * @param targets supplies the targets known to this VM
   */
  public StatusCollector(
      String localVm,
      PeerRequests requests,
      Supplier<Collection<String>> otherVms,
      Supplier<Collection<TargetRecord>> targets) {
    this.localVm = localVm;
    this.requests = requests;
    this.otherVms = otherVms;
    this.targets = targets;
  }

  /**
   * Returns the status as JSON; a VM that does not answer in time is marked as unreachable.
   *
   * @param mapper creates the JSON nodes
   * @throws InterruptedException if the thread is interrupted
   */
  public ObjectNode collect(ObjectMapper mapper) throws InterruptedException {
    Map<String, CompletableFuture<Response>> answers = new LinkedHashMap<>();
    Set<String> vms = new TreeSet<>(otherVms.get());
    vms.add(localVm);
    for (String vm : vms) {
      answers.put(vm, requests.send(vm, Request.newBuilder().setReadStatus(true), REQUEST_TIMEOUT));
    }
    ObjectNode status = mapper.createObjectNode();
    ArrayNode vmArray = status.putArray("vms");
    VmStatusImage leader = null;
    for (Map.Entry<String, CompletableFuture<Response>> entry : answers.entrySet()) {
      ObjectNode vmNode = vmArray.addObject().put("vm", entry.getKey());
      try {
        VmStatusImage vm = entry.getValue().get().getStatus();
        vmNode.put("reachable", true);
        addVm(vmNode, vm);
        boolean isLeader = vm.getReplicaRole().equals("leader");
        if (isLeader && (leader == null || vm.getTerm() > leader.getTerm())) {
          leader = vm;
        }
      } catch (ExecutionException e) {
        vmNode.put("reachable", false);
      }
    }
    if (leader != null) {
      addLeader(status.putObject("control"), leader);
    }
    addTargets(status.putArray("targets"));
    return status;
  }

  private static void addVm(ObjectNode vmNode, VmStatusImage vm) {
    vmNode
        .put("data_centre", vm.getDataCentre())
        .put("version", vm.getVersion())
        .put("ready", vm.getReady())
        .put("draining", vm.getDraining())
        .put("rules_in_force", vm.getRulesNumber())
        .put("requests_running", vm.getRunning())
        .put("replica", vm.getReplicaRole())
        .put("epoch", vm.getTerm())
        .put("accepted_index", vm.getCommit());
  }

  private static void addLeader(ObjectNode controlNode, VmStatusImage leader) {
    controlNode
        .put("leader", leader.getVm())
        .put("epoch", leader.getTerm())
        .put("accepted_index", leader.getCommit());
    ArrayNode voters = controlNode.putArray("voters");
    leader.getVotersList().forEach(voters::add);
    ArrayNode learners = controlNode.putArray("learners");
    leader.getLearnersList().forEach(learners::add);
  }

  private void addTargets(ArrayNode targetArray) {
    long now = System.nanoTime();
    for (TargetRecord target : targets.get()) {
      TargetDescription description = target.description();
      ObjectNode targetNode =
          targetArray
              .addObject()
              .put("name", description.name())
              .put("serves", description.serves())
              .put("data_centre", description.dataCentre())
              .put("state", target.leaving() ? "leaving" : "alive")
              .put("incarnation", target.incarnation())
              .put("running", target.load().running())
              .put("queued", target.load().queued())
              .put("load_age_s", (now - target.load().reportedAt()) / NANOS_PER_SECOND);
      TargetDescription.Engine engine = description.engine();
      if (engine != null) {
        targetNode
            .put("layers", engine.layers().toString())
            .put("accelerator", engine.accelerator());
      }
    }
  }
}
