package org.clementinesail.server.requests;

/** What a caller is told of its request. */
public enum Outcome {
  /** The request ran and the answer is whole. */
  COMPLETED("completed"),
  /** The request certainly did not run and never will. */
  NOT_RUN("not-run"),
  /** The request may have run, in part or whole. */
  UNKNOWN("unknown");

  private final String wireName;

  Outcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the word used in headers and bodies. */
  public String wireName() {
    return wireName;
  }
}
