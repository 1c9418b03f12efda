package org.clementinesail.server.requests;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * A request to generate text with a model.
 *
 * @param id request id, used in logs and in calls to engines
 * @param workspace workspace of the caller
 * @param model name of the model
 * @param prompt prompt text, not tokenized yet
 * @param maxTokens maximum number of tokens to generate
 * @param preferredDataCentre data centre whose engines are preferred, or null
 * @param deadline time at which the request fails, as a {@link System#nanoTime} value
 */
public record ModelRequest(
    String id,
    String workspace,
    String model,
    String prompt,
    int maxTokens,
    @Nullable String preferredDataCentre,
    long deadline) {

  /**
   * Returns a SHA-256 of workspace, model and prompt; a retry under another id has the same one.
   */
  public String digest() {
    return Hashing.sha256()
        .hashString(workspace + '\n' + model + '\n' + prompt, StandardCharsets.UTF_8)
        .toString();
  }
}
