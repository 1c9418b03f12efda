package org.clementinesail.core.pipeline;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The result of a step.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt, as in the call
 * @param firstPosition token position of the first input, as in the call
 * @param outputs one output for each input; empty for the last stage
 * @param token next token from the last stage, otherwise null
 * @param endOfText whether the token ends the text
 */
public record StepResult(
    String requestId,
    int attempt,
    int firstPosition,
    List<String> outputs,
    @Nullable String token,
    boolean endOfText) {}
