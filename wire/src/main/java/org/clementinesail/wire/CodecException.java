package org.clementinesail.wire;

/** Thrown if bytes or a message are not valid in the protocol, or of a kind that is not known. */
public final class CodecException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception for a message that could be parsed.
   *
   * @param message which part is invalid
   */
  public CodecException(String message) {
    super(message);
  }

  /**
   * Creates an exception for bytes that could not be parsed.
   *
   * @param message which bytes are invalid
   * @param cause exception of the protobuf parser
   */
  public CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
