package org.clementinesail.cli;

/** Exit codes of the command line tool. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The rule file is invalid, or the VMs refused it (HTTP 409 or 422). */
  REFUSED(1),
  /** The command line is wrong, a file cannot be read, or the token is rejected (HTTP 401). */
  USAGE(2),
  /** No VM answered, or none could confirm the result; the command may be repeated. */
  UNAVAILABLE(3),
  /** The checked configuration is valid, with warnings. */
  WARNINGS(1),
  /** The checked configuration is invalid. */
  INVALID(2);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process, from 0 to 3. */
  public int number() {
    return number;
  }
}
