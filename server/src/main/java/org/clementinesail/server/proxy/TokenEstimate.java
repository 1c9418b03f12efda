package org.clementinesail.server.proxy;

import org.clementinesail.core.desired.EngineModel;
import org.jspecify.annotations.Nullable;

/**
 * Expected tokens of a request.
 *
 * @param promptTokens tokens of the prompt
 * @param answerTokens expected tokens of the answer
 */
record TokenEstimate(int promptTokens, int answerTokens) {
  /** Returns the caller's values or else the model's means; 0 for a service without a model. */
  static TokenEstimate of(RequestMetadata metadata, @Nullable EngineModel model) {
    if (model == null) {
      return new TokenEstimate(0, 0);
    }
    int expected =
        metadata.expectedAnswerTokens() > 0
            ? metadata.expectedAnswerTokens()
            : model.meanAnswerTokens();
    int limit = metadata.maxAnswerTokens() > 0 ? metadata.maxAnswerTokens() : Integer.MAX_VALUE;
    int prompt = metadata.promptTokens() > 0 ? metadata.promptTokens() : model.meanPromptTokens();
    return new TokenEstimate(prompt, Math.min(expected, limit));
  }
}
