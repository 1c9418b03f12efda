package org.clementinesail.server.requests;

/** Whether a request ran, as reported to the caller. */
public enum Outcome {
  /** The request ran and the answer is complete. */
  COMPLETED("completed"),
  /** The request did not run and will not run later. */
  NOT_RUN("not-run"),
  /** The request may have run, partly or completely. */
  UNKNOWN("unknown");

  private final String wireName;

  Outcome(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the value used in response headers and bodies. */
  public String wireName() {
    return wireName;
  }
}
