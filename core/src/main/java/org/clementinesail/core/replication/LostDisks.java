package org.clementinesail.core.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Knows voters whose disks are lost for ever, because their VMs have come back without state and as
 * other replicas. Silence alone says nothing of a disk.
 */
final class LostDisks {
  private final Map<String, ReplicaId> blankReplicas = new HashMap<>();

  /** Records that a VM has said that it has no state. */
  void recordBlank(ReplicaId replica) {
    blankReplicas.put(replica.vm(), replica);
  }

  /** Records a message of a replica with state: its disk is not lost, whatever was said before. */
  void recordState(ReplicaId replica) {
    ReplicaId blank = blankReplicas.get(replica.vm());
    if (blank != null && !blank.equals(replica)) {
      blankReplicas.remove(replica.vm());
    }
  }

  /** Returns the voters of a configuration whose disks are lost. */
  Set<ReplicaId> votersOf(ReplicaConfig config) {
    return config.voters().stream()
        .filter(voter -> !blankReplicas.getOrDefault(voter.vm(), voter).equals(voter))
        .collect(Collectors.toUnmodifiableSet());
  }
}
