package org.clementinesail.core.pipeline;

import java.util.List;
import org.clementinesail.core.routing.Stage;

/**
 * A step for one stage to run.
 *
 * <p>If the target has already stored a position for the request, it computes the position again
 * but does not store it twice. It stores all other positions.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt, from 1; a target rejects attempts older than the newest one
 *     it has received
 * @param stage target and layers to run
 * @param firstPosition token position of the first input
 * @param inputs tokens for the first stage, otherwise the outputs of the previous stage
 * @param wantsToken whether this is the last stage, which returns the next token
 */
public record StepCall(
    String requestId,
    int attempt,
    Stage stage,
    int firstPosition,
    List<String> inputs,
    boolean wantsToken) {}
