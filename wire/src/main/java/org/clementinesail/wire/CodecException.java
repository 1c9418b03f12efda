package org.clementinesail.wire;

/** Thrown when bytes are not a message of this protocol. */
public final class CodecException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what was wrong, and what is allowed
   */
  public CodecException(String message) {
    super(message);
  }

  /**
   * Creates an exception with its cause.
   *
   * @param message what was wrong, and what is allowed
   * @param cause the parser's own exception
   */
  public CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
