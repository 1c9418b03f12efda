package org.clementinesail.core.replication;

/**
 * Heartbeat interval, election timeouts and clock drift of a replica.
 *
 * @param heartbeatNanos interval between heartbeats of a leader
 * @param minElectionTimeoutNanos shortest time without a leader before an election; also the
 *     longest time that a leader keeps its role without replies from a majority
 * @param maxElectionTimeoutNanos longest time without a leader before an election
 * @param maxDriftPerMille largest difference in speed of two VMs' monotonic clocks, in thousandths
 */
public record Timing(
    long heartbeatNanos,
    long minElectionTimeoutNanos,
    long maxElectionTimeoutNanos,
    int maxDriftPerMille) {

  /**
   * Returns the lease duration in nanoseconds: the minimum election timeout less the clock drift,
   * counted from when the messages that a majority acknowledged were sent.
   */
  public long leaseNanos() {
    return minElectionTimeoutNanos - minElectionTimeoutNanos / 1000 * maxDriftPerMille;
  }
}
