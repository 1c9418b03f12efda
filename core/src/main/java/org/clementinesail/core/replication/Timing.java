package org.clementinesail.core.replication;

/**
 * Time settings of a replica, all in nanoseconds.
 *
 * @param heartbeatNanos time between heartbeats of a leader
 * @param minElectionTimeoutNanos shortest time without a leader before an election; also the
 *     longest a leader keeps its role without hearing a majority
 * @param maxElectionTimeoutNanos longest such time
 * @param maxDriftPerMille bound on the difference of two VMs' monotonic clocks, in thousandths
 */
public record Timing(
    long heartbeatNanos,
    long minElectionTimeoutNanos,
    long maxElectionTimeoutNanos,
    int maxDriftPerMille) {

  /** Returns how long a majority's acknowledgement supports a lease, counted from its sending. */
  public long leaseNanos() {
    return minElectionTimeoutNanos - minElectionTimeoutNanos / 1000 * maxDriftPerMille;
  }
}
