package org.clementinesail.server.proxy;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Values from the headers of a caller's request.
 *
 * @param id request id; empty if the caller gives none
 * @param host value of the Host header
 * @param timeoutMillis how long the caller waits for the response, or -1 if not given
 * @param apiKey API key of the caller, or null if not given
 * @param promptTokens tokens of the prompt, or 0 if not given
 * @param maxAnswerTokens maximum number of tokens of the answer, or 0 if not given
 * @param expectedAnswerTokens estimated number of tokens of the answer, or 0 if not given
 * @param sharedParts ids of the parts of the prompt that other requests may share, in order
 * @param lastEventId event after which a stream is to continue, or null for a new stream
 */
public record RequestMetadata(
    String id,
    String host,
    long timeoutMillis,
    @Nullable String apiKey,
    int promptTokens,
    int maxAnswerTokens,
    int expectedAnswerTokens,
    List<String> sharedParts,
    @Nullable String lastEventId) {
  /** Copies the list. */
  public RequestMetadata {
    sharedParts = List.copyOf(sharedParts);
  }
}
