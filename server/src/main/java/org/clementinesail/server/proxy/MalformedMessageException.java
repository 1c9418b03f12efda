package org.clementinesail.server.proxy;

/** A message from another program cannot be read; its sender is to be told, or is left out. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what is wrong, with the field it concerns
   */
  public MalformedMessageException(String message) {
    super(message);
  }

  /**
   * Creates an exception.
   *
   * @param message what is wrong, with the field it concerns
   * @param cause what the parser said
   */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
