package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.desired.Workspace;
import org.jspecify.annotations.Nullable;

/** Finds what the desired state says of a request. */
final class RequestResolver {
  private RequestResolver() {}

  /** What was found. */
  sealed interface Resolution {}

  /**
   * The request may be served.
   *
   * @param route its route
   * @param service the service that is to run it
   * @param workspace name of the caller's workspace, or null where none is needed
   */
  record Resolved(Route route, Service service, @Nullable String workspace) implements Resolution {}

  /**
   * The desired state does not allow the request.
   *
   * @param status status of the answer
   * @param reason for the log
   */
  record Denied(HttpResponseStatus status, String reason) implements Resolution {}

  /** No desired state is known. */
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
      return new Denied(HttpResponseStatus.NOT_FOUND, "no route" + version);
    }
    String workspace = null;
    if (desired.keysRequired() && !route.get().keyless()) {
      Optional<Workspace> keyOwner =
          Optional.ofNullable(metadata.apiKey()).flatMap(desired::workspaceByKey);
      if (keyOwner.isEmpty()) {
        return new Denied(HttpResponseStatus.UNAUTHORIZED, "unknown key" + version);
      }
      workspace = keyOwner.get().name();
    }
    String service = route.get().pickService(routing.random().nextDouble());
    return new Resolved(route.get(), desired.service(service).orElseThrow(), workspace);
  }
}
