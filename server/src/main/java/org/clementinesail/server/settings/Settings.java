package org.clementinesail.server.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Checked settings of one VM.
 *
 * @param vm name of this VM
 * @param dataCentre data centre that this VM stands in
 * @param listen addresses to listen at
 * @param peers the other VMs of the site
 * @param dataFolder folder of the replica's state, or null on a VM that holds no replica
 * @param peerSecret secret that all VMs share
 * @param operatorToken token that operators send
 * @param deadlines how long things may take
 * @param limits how large and how many things may be
 */
public record Settings(
    String vm,
    String dataCentre,
    Listen listen,
    List<Peer> peers,
    @Nullable Path dataFolder,
    String peerSecret,
    String operatorToken,
    Deadlines deadlines,
    Limits limits) {

  /**
   * Addresses to listen at.
   *
   * @param callers HTTP for callers and the balancer
   * @param targets HTTP for announcements of targets
   * @param operators HTTP for operators
   * @param peers the protocol between VMs
   */
  public record Listen(
      InetSocketAddress callers,
      InetSocketAddress targets,
      InetSocketAddress operators,
      InetSocketAddress peers) {}

  /**
   * Another VM of the site.
   *
   * @param vm name of the VM
   * @param address where it listens for VMs
   * @param replica whether it holds a replica
   */
  public record Peer(String vm, InetSocketAddress address, boolean replica) {}

  /**
   * How long things may take.
   *
   * @param request a model request, from its arrival to its last token
   * @param step one step of an engine, before the engine counts as silent
   * @param connect the making of a connection
   * @param serviceCall a service call, from its arrival to the end of the answer
   * @param claim the claiming of a call on a majority of replicas
   * @param rulesConfirm how long a majority's word on the rules holds
   * @param drain how long a stop waits for work in progress
   * @param callerIdle how long a caller may neither send nor take anything
   */
  public record Deadlines(
      Duration request,
      Duration step,
      Duration connect,
      Duration serviceCall,
      Duration claim,
      Duration rulesConfirm,
      Duration drain,
      Duration callerIdle) {}

  /**
   * How large and how many things may be.
   *
   * @param bodyBytes body of a caller's request
   * @param headerBytes all headers of a caller's request
   * @param requests requests in progress on this VM
   * @param answerKeptBytes answer of a call that may not be repeated, kept for a resend
   */
  public record Limits(long bodyBytes, int headerBytes, int requests, int answerKeptBytes) {}

  /** Returns whether this VM holds a replica. */
  public boolean holdsReplica() {
    return dataFolder != null;
  }

  /** Returns the names of all VMs that hold replicas, this one included where it does. */
  public List<String> replicaVms() {
    List<String> others = peers.stream().filter(Peer::replica).map(Peer::vm).toList();
    if (!holdsReplica()) {
      return others;
    }
    return Stream.concat(Stream.of(vm), others.stream()).sorted().toList();
  }
}
