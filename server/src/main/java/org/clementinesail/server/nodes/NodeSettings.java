package org.clementinesail.server.nodes;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.clementinesail.core.limits.ClientLimits;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a VM process.
 *
 * @param name name of the VM
 * @param dataCentre data centre of the VM
 * @param peerAddress address where a control VM accepts other VMs; as {@code host:port} it is also
 *     the VM's name among control VMs
 * @param seeds addresses where some control VMs accept other VMs
 * @param formsCluster whether the seeds form a new cluster; true only for the first start of a site
 * @param dataFolder folder for stored state; required on a control VM, null on a VM without a disk
 * @param proxyAddress address that accepts callers; required on an entry VM, otherwise may be null
 * @param readyAddress address of readiness checks and metrics, or null for none
 * @param relayAddress address where an entry VM takes requests of other entry VMs that reach no
 *     target, or null for none
 * @param apiAddress address that accepts targets and operators; required on a control VM, otherwise
 *     may be null
 * @param heartbeatMillis interval between two heartbeats of a target, in milliseconds
 * @param graceMillis time from the stop signal until the process is killed, in milliseconds
 * @param catchUpMillis time from the start of a control VM without state until it must count in
 *     place of the one that it succeeds, in milliseconds; 0 if no limit is stated
 * @param retryRatio limit on retries per request to a service; an entry VM uses at most half of it
 * @param retryAllowance limit on retries to a service beyond the ratio, for all VMs together; entry
 *     VMs use at most half of it
 * @param clientLimits what all clients of the process together may hold
 * @param peerSecret secret shared by all VMs
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
    @Nullable InetSocketAddress relayAddress,
    @Nullable InetSocketAddress apiAddress,
    long heartbeatMillis,
    long graceMillis,
    long catchUpMillis,
    double retryRatio,
    double retryAllowance,
    ClientLimits clientLimits,
    String peerSecret) {

  /** Makes an unmodifiable copy of the seeds. */
  public NodeSettings {
    seeds = List.copyOf(seeds);
  }

  /** Returns the lease of a target: three heartbeats and 2 s, as heartbeats may be late or lost. */
  long leaseNanos() {
    return (3 * heartbeatMillis + 2_000) * 1_000_000L;
  }

  @Override
  public String toString() {
    return "NodeSettings[" + name + " in " + dataCentre + "]";
  }
}
