package org.clementinesail.server.proxy;

import java.util.List;
import java.util.concurrent.TimeUnit;
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
 * @param rank rank of the request from 0, the most urgent, to 9
 */
public record ForwardingInfo(
    @Nullable String workspace,
    long timeoutMillis,
    String targetId,
    List<Hop> path,
    @Nullable String lastEventId,
    int rank) {

  /** Returns the values for a destination; the deadline is a {@link System#nanoTime}. */
  static ForwardingInfo of(
      Destination destination,
      @Nullable String workspace,
      long deadline,
      @Nullable String lastEventId,
      int rank) {
    long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
    String target = destination.firstTarget().statement().id();
    return new ForwardingInfo(workspace, millis, target, destination.path(), lastEventId, rank);
  }
}
