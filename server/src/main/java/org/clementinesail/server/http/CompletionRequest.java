package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The body of a chat or completions request.
 *
 * @param model name of the model, 1 to 128 characters
 * @param prompt text of the prompt, at most 1,000,000 characters; for a chat request, one line
 *     {@code role: content} for each message
 * @param maxTokens largest number of tokens to generate, 1 to 32,768
 * @param stream whether to send the answer as server-sent events
 * @param chat whether the request and its answer have the chat format
 */
record CompletionRequest(String model, String prompt, int maxTokens, boolean stream, boolean chat) {
  private static final int MAX_MODEL_NAME_CHARS = 128;
  private static final int MAX_PROMPT_CHARS = 1_000_000;
  private static final int MAX_TOKENS = 32_768;
  private static final int DEFAULT_MAX_TOKENS = 256;

  static CompletionRequest parse(JsonFields fields, boolean chat) throws BadRequestException {
    if (fields.integer("n", 1, 128, 1) != 1) {
      throw new BadRequestException("'n' must be 1; one answer a request is what is offered");
    }
    return new CompletionRequest(
        fields.text("model", MAX_MODEL_NAME_CHARS),
        chat ? promptOf(fields.node("messages")) : fields.text("prompt", MAX_PROMPT_CHARS),
        (int) fields.integer("max_tokens", 1, MAX_TOKENS, DEFAULT_MAX_TOKENS),
        fields.flag("stream"),
        chat);
  }

  private static String promptOf(JsonNode messages) throws BadRequestException {
    if (!messages.isArray() || messages.isEmpty()) {
      throw new BadRequestException("'messages' must be a list that is not empty");
    }
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode role = message.path("role");
      JsonNode content = message.path("content");
      if (!role.isTextual() || !content.isTextual()) {
        throw new BadRequestException("each message must have a text 'role' and a text 'content'");
      }
      prompt.append(role.asText()).append(": ").append(content.asText()).append('\n');
    }
    if (prompt.length() > MAX_PROMPT_CHARS) {
      throw new BadRequestException(
          "the messages have more than " + MAX_PROMPT_CHARS + " characters");
    }
    return prompt.toString();
  }
}
