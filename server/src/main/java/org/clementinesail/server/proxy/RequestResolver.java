package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.clementinesail.core.admission.RequestRank;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.desired.Workspace;
import org.jspecify.annotations.Nullable;

/** Finds the route, service and workspace of a request in the desired state. */
final class RequestResolver {
  private RequestResolver() {}

  /** Result of a lookup. */
  sealed interface Resolution {}

  /**
   * The request is allowed.
   *
   * @param route route of the request
   * @param service service that the request is sent to
   * @param workspace name of the caller's workspace, or null if the route needs no key
   * @param rank rank of the request from 0, the most urgent, to 9
   */
  record Resolved(Route route, Service service, @Nullable String workspace, int rank)
      implements Resolution {}

  /**
   * The desired state does not allow the request.
   *
   * @param status status of the response
   * @param reason description for the log
   */
  record Denied(HttpResponseStatus status, String reason) implements Resolution {}

  /** No desired state is known yet. */
  record NoDesiredState() implements Resolution {}

  static Resolution resolve(RoutingState routing, RequestMetadata metadata, String uri) {
    Optional<DesiredState> current = routing.desiredState();
    if (current.isEmpty()) {
      return new NoDesiredState();
    }
    DesiredState desired = current.get();
    String version = "; desired state " + desired.version();
    int queryStart = uri.indexOf('?');
    String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
    Optional<Route> route = desired.route(metadata.host(), path);
    if (route.isEmpty()) {
      return new Denied(HttpResponseStatus.NOT_FOUND, "no route matches the request" + version);
    }
    String workspace = null;
    int workspacePriority = -1;
    if (desired.keysRequired() && !route.get().keyless()) {
      Optional<Workspace> keyOwner =
          Optional.ofNullable(metadata.apiKey()).flatMap(desired::workspaceByKey);
      if (keyOwner.isEmpty()) {
        return new Denied(HttpResponseStatus.UNAUTHORIZED, "missing or unknown API key" + version);
      }
      workspace = keyOwner.get().name();
      workspacePriority = keyOwner.get().priority();
    }
    String service = route.get().pickService(routing.random().nextDouble());
    int rank = RequestRank.of(workspacePriority, route.get().priority());
    return new Resolved(route.get(), desired.service(service).orElseThrow(), workspace, rank);
  }
}
