package org.clementinesail.wire;

/** Result of the latest attempts to reach another VM. */
public enum PeerReachability {
  /** An authenticated connection is open, and the VM answers. */
  CONNECTED,
  /** The connection was refused: the VM is up, but no process listens at the address. */
  REFUSED,
  /** Neither: no answer, a failed handshake, a closed connection, or no attempt yet. */
  UNRESPONSIVE
}
