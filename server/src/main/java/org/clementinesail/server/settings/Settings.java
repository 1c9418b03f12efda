package org.clementinesail.server.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Validated settings of one VM.
 *
 * @param vm name of this VM
 * @param dataCentre name of the data centre of this VM
 * @param listen addresses to listen on
 * @param peers the other VMs of the site
 * @param dataFolder folder of the replica's state, or null on a VM that holds no replica
 * @param peerSecret secret that all VMs share, at least 16 characters
 * @param operatorToken bearer token of operators, at least 16 characters
 * @param deadlines time limits
 * @param limits sizes and counts
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
   * Addresses to listen on.
   *
   * @param callers address of the HTTP listener for callers and the load balancer
   * @param targets address of the HTTP listener for targets
   * @param operators address of the HTTP listener for operators
   * @param peers address for the protocol between VMs
   */
  public record Listen(
      InetSocketAddress callers,
      InetSocketAddress targets,
      InetSocketAddress operators,
      InetSocketAddress peers) {}

  /**
   * Another VM of the site.
   *
   * @param vm name of the VM, unique in the site
   * @param address address on which it listens for other VMs
   * @param replica whether it holds a replica
   */
  public record Peer(String vm, InetSocketAddress address, boolean replica) {}

  /**
   * Time limits.
   *
   * @param request duration of a model request, from its arrival to its last token
   * @param step duration of one step of an engine, after which the engine counts as unresponsive
   * @param connect duration of connecting to a target
   * @param serviceCall duration of a service call, from its arrival to the end of the answer
   * @param claim duration of claiming a call on a majority of replicas
   * @param rulesConfirm how long a majority's confirmation of the rules is valid
   * @param drain how long a stop waits for running requests
   * @param callerIdle how long a caller may neither send nor read anything
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
   * Largest sizes and counts.
   *
   * @param bodyBytes size of the body of a caller's request
   * @param headerBytes size of all headers of a caller's request
   * @param requests number of requests in progress on this VM
   * @param answerKeptBytes size of the answer that is stored for a call that may not be repeated,
   *     to be sent again if the caller repeats the call
   */
  public record Limits(long bodyBytes, int headerBytes, int requests, int answerKeptBytes) {}

  /** Returns whether this VM holds a replica. */
  public boolean holdsReplica() {
    return dataFolder != null;
  }

  /** Returns the names of all VMs that hold replicas, including this VM if it does. */
  public List<String> replicaVms() {
    List<String> others = peers.stream().filter(Peer::replica).map(Peer::vm).toList();
    if (!holdsReplica()) {
      return others;
    }
    return Stream.concat(Stream.of(vm), others.stream()).sorted().toList();
  }
}
