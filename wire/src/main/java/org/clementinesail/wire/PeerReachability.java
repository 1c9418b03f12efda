package org.clementinesail.wire;

/** What is known of the way to another VM. */
public enum PeerReachability {
  /** A connection is open and answers. */
  CONNECTED,
  /** The VM answers, but no process listens there. */
  REFUSED,
  /** Nothing answers. */
  UNRESPONSIVE
}
