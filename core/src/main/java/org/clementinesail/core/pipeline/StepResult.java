package org.clementinesail.core.pipeline;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A target's answer to a step.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt that was answered
 * @param firstPosition position of the first input
 * @param outputs one output for each input; empty from the last stage
 * @param token the next token from the last stage, else null
 * @param endOfText whether the token ends the text
 */
public record StepResult(
    String requestId,
    int attempt,
    int firstPosition,
    List<String> outputs,
    @Nullable String token,
    boolean endOfText) {}
