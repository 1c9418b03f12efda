package org.clementinesail.cli;

/** Exit codes of the command line. */
public enum ExitCode {
  /** The command did what was asked. */
  OK(0),
  /** The file is invalid, or the site refused it. */
  REFUSED(1),
  /** The command line is wrong, or a file cannot be read. */
  USAGE(2),
  /** No VM answered, or none could confirm; the command may be given again. */
  UNAVAILABLE(3);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number that the process exits with. */
  public int number() {
    return number;
  }
}
