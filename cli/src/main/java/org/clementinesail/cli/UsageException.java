package org.clementinesail.cli;

/** Thrown for a wrong command line; the message says what is allowed. */
public final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what was wrong and what is allowed
   */
  public UsageException(String message) {
    super(message);
  }
}
