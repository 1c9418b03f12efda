package org.clementinesail.server.control;

import java.util.List;

/**
 * A replica's view of itself, for status and metrics.
 *
 * @param role role in the present term in lower case, {@code none} on a VM without a replica, or
 *     {@code failed} after an error of the disk
 * @param term present term; a leader's epoch
 * @param leaderVm VM of the leader, or empty if it is not known
 * @param commitIndex index of the last accepted entry
 * @param lastIndex index of the last entry held
 * @param voters VMs whose replicas vote
 * @param learners VMs whose replicas do not count yet
 * @param leaseDeadlineNanos until when no other replica can lead, in nanoseconds of the monotonic
 *     clock
 */
public record ReplicaStatus(
    String role,
    long term,
    String leaderVm,
    long commitIndex,
    long lastIndex,
    List<String> voters,
    List<String> learners,
    long leaseDeadlineNanos) {
  /** The status of a VM that holds no replica. */
  public static final ReplicaStatus NONE =
      new ReplicaStatus("none", 0, "", 0, 0, List.of(), List.of(), 0);

  /** Returns whether a replica runs and follows or leads. */
  public boolean knowsLeader() {
    return !leaderVm.isEmpty();
  }
}
