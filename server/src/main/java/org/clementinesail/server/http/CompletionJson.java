package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.clementinesail.server.requests.ModelResult;
import org.clementinesail.server.requests.Outcome;
import org.jspecify.annotations.Nullable;

/** Builds the JSON bodies of answers to chat and completions requests. */
final class CompletionJson {
  private final ObjectMapper mapper;
  private final CompletionRequest request;
  private final String requestId;

  CompletionJson(ObjectMapper mapper, CompletionRequest request, String requestId) {
    this.mapper = mapper;
    this.request = request;
    this.requestId = requestId;
  }

  ObjectNode chunk(String token) {
    ObjectNode choice = mapper.createObjectNode().put("index", 0);
    if (request.chat()) {
      choice.putObject("delta").put("content", token);
    } else {
      choice.put("text", token);
    }
    choice.putNull("finish_reason");
    return envelope(true, choice);
  }

  ObjectNode finalChunk(ModelResult.Completed result) {
    ObjectNode choice = mapper.createObjectNode().put("index", 0);
    if (request.chat()) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    choice.put("finish_reason", finishReason(result));
    ObjectNode body = envelope(true, choice);
    addUsage(body, result);
    return body;
  }

  ObjectNode completion(String text, ModelResult.Completed result) {
    ObjectNode choice = mapper.createObjectNode().put("index", 0);
    if (request.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason(result));
    ObjectNode body = envelope(false, choice);
    addUsage(body, result);
    return body;
  }

  private ObjectNode envelope(boolean chunk, ObjectNode choice) {
    ObjectNode body =
        mapper
            .createObjectNode()
            .put("id", requestId)
            .put("object", objectType(chunk))
            .put("model", request.model());
    body.putArray("choices").add(choice);
    return body;
  }

  private String objectType(boolean chunk) {
    if (!request.chat()) {
      return "text_completion";
    }
    return chunk ? "chat.completion.chunk" : "chat.completion";
  }

  private void addUsage(ObjectNode body, ModelResult.Completed result) {
    body.putObject("usage")
        .put("prompt_tokens", result.promptTokens())
        .put("completion_tokens", result.tokens())
        .put("total_tokens", result.promptTokens() + result.tokens());
    body.putObject("clementinesail")
        .put("outcome", Outcome.COMPLETED.wireName())
        .put("request_id", requestId);
  }

  private static @Nullable String finishReason(ModelResult.Completed result) {
    return result.endOfText() ? "stop" : "length";
  }
}
