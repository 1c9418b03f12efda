package org.clementinesail.core.replication;

/**
 * Heartbeat interval, election timeouts and clock drift of a replica.
 *
 * @param heartbeatNanos interval between heartbeats of a leader
 * @param minElectionTimeoutNanos shortest time without a leader before an election; also the
 *     longest time that a leader keeps its role without replies from a majority
 * @param maxElectionTimeoutNanos longest time without a leader before an election
 * @param replacementNanos time without contact after which a voter may be exchanged for a replica
 *     that waits to vote; at least the longest election timeout
 * @param maxDriftPerMille largest difference in speed of two VMs' monotonic clocks, in thousandths
 */
public record Timing(
    long heartbeatNanos,
    long minElectionTimeoutNanos,
    long maxElectionTimeoutNanos,
    long replacementNanos,
    int maxDriftPerMille) {
  /**
   * Creates a timing in which a voter may be exchanged after two longest election timeouts.
   *
   * @param heartbeatNanos interval between heartbeats of a leader
   * @param minElectionTimeoutNanos shortest time without a leader before an election
   * @param maxElectionTimeoutNanos longest time without a leader before an election
   * @param maxDriftPerMille largest difference in speed of two clocks, in thousandths
   */
  public Timing(
      long heartbeatNanos,
      long minElectionTimeoutNanos,
      long maxElectionTimeoutNanos,
      int maxDriftPerMille) {
    this(
        heartbeatNanos,
        minElectionTimeoutNanos,
        maxElectionTimeoutNanos,
        2 * maxElectionTimeoutNanos,
        maxDriftPerMille);
  }

  /**
   * Returns a timing in which a voter may be exchanged after another time without contact.
   *
   * @param nanos the time; raised to the longest election timeout if it is shorter
   */
  public Timing withReplacement(long nanos) {
    return new Timing(
        heartbeatNanos,
        minElectionTimeoutNanos,
        maxElectionTimeoutNanos,
        Math.max(nanos, maxElectionTimeoutNanos),
        maxDriftPerMille);
  }

  /**
   * Returns the lease duration in nanoseconds: the minimum election timeout less the clock drift,
   * counted from when the messages that a majority acknowledged were sent.
   */
  public long leaseNanos() {
    return minElectionTimeoutNanos - minElectionTimeoutNanos / 1000 * maxDriftPerMille;
  }
}
