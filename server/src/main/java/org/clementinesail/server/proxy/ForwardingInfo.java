package org.clementinesail.server.proxy;

import java.util.List;
import org.clementinesail.core.paths.Hop;
import org.jspecify.annotations.Nullable;

/**
 * Values that are sent to a target in addition to the caller's request.
 *
 * @param workspace name of the caller's workspace, or null if the route needs no key
 * @param timeoutMillis time left for the response, at least 1 ms
 * @param targetId id of the target that the request is meant for
 * @param path engines that the request passes through; empty for a service without engines
 * @param lastEventId event after which the stream is to continue, or null for a new stream
 */
public record ForwardingInfo(
    @Nullable String workspace,
    long timeoutMillis,
    String targetId,
    List<Hop> path,
    @Nullable String lastEventId) {}
