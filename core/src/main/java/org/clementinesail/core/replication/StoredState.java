package org.clementinesail.core.replication;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * State that a replica read from its disk.
 *
 * @param clusterId random id of the cluster; 0 for a blank disk
 * @param term last saved term; 0 for a blank disk
 * @param votedFor replica that got the vote in that term, or null
 * @param snapshot last saved snapshot; index 0 for a blank disk
 * @param entries saved entries after the snapshot, in order
 */
public record StoredState(
    long clusterId,
    long term,
    @Nullable ReplicaId votedFor,
    Snapshot snapshot,
    List<LogEntry> entries) {

  /** Returns the state of a blank disk: cluster id, term and snapshot index are 0. */
  public static StoredState blank() {
    return new StoredState(
        0, 0, null, new Snapshot(0, 0, ReplicaConfig.NONE, new byte[0]), List.of());
  }
}
