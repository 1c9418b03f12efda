package org.clementinesail.server.requests;

/** Result of a model request. */
public sealed interface ModelResult {

  /**
   * All tokens were delivered.
   *
   * @param promptTokens number of tokens in the prompt
   * @param tokens number of generated tokens
   * @param endOfText true if the model ended the text, false if the token limit was reached
   */
  record Completed(int promptTokens, int tokens, boolean endOfText) implements ModelResult {}

  /**
   * The answer is missing or incomplete.
   *
   * @param failure error to return to the caller
   */
  record Failed(CallFailure failure) implements ModelResult {}

  /** The caller closed the connection. */
  record CallerDisconnected() implements ModelResult {}
}
