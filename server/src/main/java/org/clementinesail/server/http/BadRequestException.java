package org.clementinesail.server.http;

/** Thrown when the path, method, headers or body of a request are invalid. */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String problem;

  BadRequestException(String problem) {
    super(problem);
    this.problem = problem;
  }

  /** Returns the message for the caller: what is wrong and what is allowed. */
  String problem() {
    return problem;
  }
}
