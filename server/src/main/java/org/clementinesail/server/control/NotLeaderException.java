package org.clementinesail.server.control;

/** Signals that the replica that received a request is not the leader. */
public final class NotLeaderException extends ControlException {
  private static final long serialVersionUID = 1L;

  private final String leaderVm;

  /**
   * Creates an exception.
   *
   * @param leaderVm name of the leader's VM, or an empty string if no leader is known
   */
  public NotLeaderException(String leaderVm) {
    super(leaderVm.isEmpty() ? "no leader is known" : "the leader is on VM " + leaderVm);
    this.leaderVm = leaderVm;
  }

  /** Returns the name of the leader's VM, or an empty string if no leader is known. */
  public String leaderVm() {
    return leaderVm;
  }
}
