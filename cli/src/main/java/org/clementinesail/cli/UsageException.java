package org.clementinesail.cli;

/** Thrown if the command line is wrong or a file cannot be read. */
public final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception for {@link ExitCode#USAGE}.
   *
   * @param message the value at fault and what is allowed, as printed to the operator
   */
  public UsageException(String message) {
    super(message);
  }
}
