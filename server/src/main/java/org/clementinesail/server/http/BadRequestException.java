package org.clementinesail.server.http;

/** Thrown when a request breaks the rules of its interface. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String problem;

  BadRequestException(String problem) {
    super(problem);
    this.problem = problem;
  }

  /** Returns what was wrong and what is allowed, for the caller to read. */
  String problem() {
    return problem;
  }
}
