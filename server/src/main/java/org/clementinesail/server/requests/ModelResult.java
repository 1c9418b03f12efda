package org.clementinesail.server.requests;

/** How a model request ended. */
public sealed interface ModelResult {

  /**
   * Every token was delivered.
   *
   * @param promptTokens tokens of the prompt
   * @param tokens tokens generated
   * @param endOfText whether the model ended the text, rather than the limit of tokens
   */
  record Completed(int promptTokens, int tokens, boolean endOfText) implements ModelResult {}

  /**
   * The answer is missing or cut short.
   *
   * @param failure why
   */
  record Failed(CallFailure failure) implements ModelResult {}

  /** The caller hung up. */
  record CallerDisconnected() implements ModelResult {}
}
