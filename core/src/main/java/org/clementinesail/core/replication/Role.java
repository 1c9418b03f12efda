package org.clementinesail.core.replication;

/** Role of a replica in the current term. */
public enum Role {
  /** Has no state and belongs to no cluster yet. */
  BLANK,
  /** Follows a leader, or waits for one. */
  FOLLOWER,
  /** Requests pre-votes. */
  PRE_CANDIDATE,
  /** Requests votes. */
  CANDIDATE,
  /** Leads the cluster. */
  LEADER
}
