package org.clementinesail.core.replication;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a replica found on its disk.
 *
 * @param clusterId number of the cluster; 0 for a blank disk
 * @param term last saved term
 * @param votedFor last saved vote, or null
 * @param snapshot last saved snapshot
 * @param entries entries after the snapshot
 */
public record StoredState(
    long clusterId,
    long term,
    @Nullable ReplicaId votedFor,
    Snapshot snapshot,
    List<LogEntry> entries) {

  /** Returns the state of a disk that holds nothing. */
  public static StoredState blank() {
    return new StoredState(
        0, 0, null, new Snapshot(0, 0, ReplicaConfig.NONE, new byte[0]), List.of());
  }
}
