package org.clementinesail.core.replication;

/**
 * The state after an entry, which replaces the log up to that entry.
 *
 * @param index index of the last entry covered; 0 for the initial state
 * @param term term of that entry; 0 for the initial state
 * @param config the configuration after that entry
 * @param state the encoded state machine; empty for the initial state; not copied, must not be
 *     changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record Snapshot(long index, long term, ReplicaConfig config, byte[] state) {}
