package org.clementinesail.server.nodes;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a process is told about itself and its site.
 *
 * @param name name of the VM
 * @param dataCentre data centre that it stands in
 * @param peerAddress where a control VM accepts other VMs; also its name among them
 * @param seeds addresses of some control VMs, where they accept other VMs
 * @param formsCluster whether the seeds form a new cluster, as at the very first start
 * @param dataFolder folder for state, or null on a VM without a disk
 * @param proxyAddress where callers are accepted, or null
 * @param readyAddress where readiness is asked, or null
 * @param apiAddress where targets and operators are accepted, or null
 * @param heartbeatMillis time between two heartbeats of a target
 * @param graceMillis time from the signal to stop until the process is killed
 * @param retryRatio repeated sendings allowed for each request
 * @param retryAllowance repeated sendings allowed beside that, for all VMs together
 * @param peerSecret secret that all VMs share
 */
public record NodeSettings(
    String name,
    String dataCentre,
    InetSocketAddress peerAddress,
    List<String> seeds,
    boolean formsCluster,
    @Nullable Path dataFolder,
    @Nullable InetSocketAddress proxyAddress,
    @Nullable InetSocketAddress readyAddress,
    @Nullable InetSocketAddress apiAddress,
    long heartbeatMillis,
    long graceMillis,
    double retryRatio,
    double retryAllowance,
    String peerSecret) {

  /** Copies the seeds. */
  public NodeSettings {
    seeds = List.copyOf(seeds);
  }

  /** Returns how long a target's statement holds: some heartbeats that may be late or lost. */
  long leaseNanos() {
    return (3 * heartbeatMillis + 2_000) * 1_000_000L;
  }

  @Override
  public String toString() {
    return "NodeSettings[" + name + " in " + dataCentre + "]";
  }
}
