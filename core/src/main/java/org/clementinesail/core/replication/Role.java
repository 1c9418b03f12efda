package org.clementinesail.core.replication;

/** What a replica does in the present term. */
public enum Role {
  /** Holds no state and belongs to no cluster yet. */
  BLANK,
  /** Follows a leader, or waits for one. */
  FOLLOWER,
  /** Asks whether an election could be won. */
  PRE_CANDIDATE,
  /** Stands for election. */
  CANDIDATE,
  /** Leads the cluster. */
  LEADER
}
