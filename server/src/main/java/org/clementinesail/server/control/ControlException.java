package org.clementinesail.server.control;

/** Signals that a request to the replicas or to another VM failed. */
public class ControlException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message reason of the failure
   */
  public ControlException(String message) {
    super(message);
  }
}
