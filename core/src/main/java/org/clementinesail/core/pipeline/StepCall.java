package org.clementinesail.core.pipeline;

import java.util.List;
import org.clementinesail.core.routing.Stage;

/**
 * One step to be run by one stage.
 *
 * <p>Positions that the target already holds for the request are computed again without being
 * stored twice; positions after them are stored.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt; a target refuses attempts older than one it has seen
 * @param stage the target and its layers
 * @param firstPosition position of the first input
 * @param inputs tokens for the first stage, else the outputs of the stage before
 * @param wantsToken whether this is the last stage, which answers with the next token
 */
public record StepCall(
    String requestId,
    int attempt,
    Stage stage,
    int firstPosition,
    List<String> inputs,
    boolean wantsToken) {}
