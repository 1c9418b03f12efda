package org.clementinesail.server.proxy;

/** Thrown when a message from another program cannot be parsed. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a cause.
   *
   * @param message what is wrong, with the name of the field
   */
  public MalformedMessageException(String message) {
    super(message);
  }

  /**
   * Creates an exception with the exception of the parser.
   *
   * @param message what is wrong, with the name of the field
   * @param cause exception of the parser
   */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
