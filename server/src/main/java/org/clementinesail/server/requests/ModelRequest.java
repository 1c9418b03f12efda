package org.clementinesail.server.requests;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * A request to a model.
 *
 * @param id id of the request
 * @param workspace workspace of the caller
 * @param model model name
 * @param prompt text of the prompt
 * @param maxTokens most tokens to generate
 * @param preferredDataCentre data centre to prefer, or null
 * @param deadline when to give up, in nanoseconds of the monotonic clock
 */
public record ModelRequest(
    String id,
    String workspace,
    String model,
    String prompt,
    int maxTokens,
    @Nullable String preferredDataCentre,
    long deadline) {

  /** Returns a digest that is the same for a resend under another id. */
  public String digest() {
    return Hashing.sha256()
        .hashString(workspace + '\n' + model + '\n' + prompt, StandardCharsets.UTF_8)
        .toString();
  }
}
