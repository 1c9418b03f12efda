/**
 * The replicated log: elections, majority replication, learners and reads, without I/O.
 *
 * <p>{@link org.clementinesail.core.replication.ReplicaCore} takes inputs and the time and returns
 * outputs; the server writes, syncs and sends them. The algorithm is Raft with pre-vote,
 * check-quorum and confirmed reads (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
 */
package org.clementinesail.core.replication;
