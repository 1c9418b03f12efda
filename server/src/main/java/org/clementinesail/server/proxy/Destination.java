package org.clementinesail.server.proxy;

import java.util.List;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.core.reachability.PeerVm;
import org.jspecify.annotations.Nullable;

/**
 * The target of a request.
 *
 * @param firstTarget target that the request is sent to
 * @param path engines that the request passes through; empty for a service without engines
 * @param peer VM that chooses the target in place of this one, or null if this one does; then it
 *     stands for the target
 */
record Destination(Fleet.Member firstTarget, List<Hop> path, @Nullable PeerVm peer) {
  Destination(Fleet.Member firstTarget, List<Hop> path) {
    this(firstTarget, path, null);
  }
}
