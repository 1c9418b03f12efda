package org.clementinesail.server.proxy;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a caller's request says, apart from method and path.
 *
 * @param id identity of the request; empty if it has none
 * @param host value of the Host header
 * @param timeoutMillis how long the caller will wait, or -1 if it does not say
 * @param apiKey the caller's API key, or null
 * @param promptTokens tokens of the prompt, 0 if it does not say
 * @param maxAnswerTokens most tokens of the answer, 0 if it does not say
 * @param expectedAnswerTokens the caller's estimate of the answer's tokens, 0 if it does not say
 * @param lastEventId event after which a stream is to continue, or null
 */
public record RequestMetadata(
    String id,
    String host,
    long timeoutMillis,
    @Nullable String apiKey,
    int promptTokens,
    int maxAnswerTokens,
    int expectedAnswerTokens,
    @Nullable String lastEventId) {}
