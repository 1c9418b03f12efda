package org.clementinesail.core.replication;

/**
 * The state after an entry, which stands for the log up to that entry.
 *
 * @param index index of the last entry covered; 0 for the state at formation
 * @param term term of that entry
 * @param config the replicas after that entry
 * @param state the encoded state machine; empty at formation; not copied, not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record Snapshot(long index, long term, ReplicaConfig config, byte[] state) {}
