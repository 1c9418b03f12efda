package org.clementinesail.server.proxy;

import java.util.List;
import org.clementinesail.core.paths.Hop;
import org.jspecify.annotations.Nullable;

/**
 * What a target is told beside the caller's own request.
 *
 * @param workspace name of the caller's workspace, or null where the route needs no key
 * @param timeoutMillis how long the answer is waited for
 * @param targetId identity that the target must have
 * @param path engines that the request passes through; empty for a plain call
 * @param lastEventId event after which the stream is to continue, or null
 */
public record ForwardingInfo(
    @Nullable String workspace,
    long timeoutMillis,
    String targetId,
    List<Hop> path,
    @Nullable String lastEventId) {}
