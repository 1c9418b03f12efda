package org.clementinesail.server.control;

/** Root of the errors of the control layer. */
public class ControlException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what was wrong
   */
  public ControlException(String message) {
    super(message);
  }
}
