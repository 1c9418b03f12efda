package org.clementinesail.server.control;

/** Thrown where a replica was asked that does not lead. */
public final class NotLeaderException extends ControlException {
  private static final long serialVersionUID = 1L;

  private final String leaderVm;

  /**
   * Creates an exception.
   *
   * @param leaderVm VM of the leader, or empty if none is known
   */
  public NotLeaderException(String leaderVm) {
    super(leaderVm.isEmpty() ? "no leader is known" : "the leader is at " + leaderVm);
    this.leaderVm = leaderVm;
  }

  /** Returns the VM of the leader, or an empty text if none is known. */
  public String leaderVm() {
    return leaderVm;
  }
}
