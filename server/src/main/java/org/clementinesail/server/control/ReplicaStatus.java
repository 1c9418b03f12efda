package org.clementinesail.server.control;

import java.util.List;

/**
 * Status of a replica as the replica itself sees it.
 *
 * @param role role in the current term in lower case, {@code none} on a VM without a replica, or
 *     {@code failed} from an error until the replica is open again
 * @param term current term, which operators see as the epoch
 * @param leaderVm name of the leader's VM, or an empty string if unknown
 * @param commitIndex index of the last entry that a majority accepted
 * @param lastIndex index of the last entry in the log
 * @param voters names of the VMs whose replicas vote
 * @param learners names of the VMs whose replicas receive the log but do not vote yet
 * @param leaseDeadlineNanos end of the leader's lease, until which no other replica can lead, on
 *     the {@link System#nanoTime} clock; valid only if {@code role} is {@code leader}
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
  /** Status of a VM without a replica. */
  public static final ReplicaStatus NONE =
      new ReplicaStatus("none", 0, "", 0, 0, List.of(), List.of(), 0);

  /** Returns the status of a replica that has failed and is not open again yet. */
  static ReplicaStatus failed(long term, long commitIndex) {
    return new ReplicaStatus("failed", term, "", commitIndex, 0, List.of(), List.of(), 0);
  }

  /** Returns whether this replica leads or knows the leader; false without a replica. */
  public boolean knowsLeader() {
    return !leaderVm.isEmpty();
  }
}
