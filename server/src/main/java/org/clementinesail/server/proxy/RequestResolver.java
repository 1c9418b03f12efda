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
  sealed interface Outcome {}

  /**
   * The request may be served.
   *
   * @param route its route
   * @param service the service that is to run it
   * @param workspace name of the caller's workspace, or null where none is needed
   */
  record Resolved(Route route, Service service, @Nullable String workspace) implements Outcome {}

  /**
   * The desired state does not allow the request.
   *
   * @param status status of the answer
   * @param reason for the log
   */
  record Denied(HttpResponseStatus status, String reason) implements Outcome {}

  /** No desired state is known. */
  record Unknown() implements Outcome {}

  static Outcome resolve(RoutingState routing, CallerHead said, String uri) {
    Optional<DesiredState> known = routing.desired();
    if (known.isEmpty()) {
      return new Unknown();
    }
    DesiredState desired = known.get();
    String version = "; desired state " + desired.version();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    Optional<Route> route = desired.route(said.host(), path);
    if (route.isEmpty()) {
      return new Denied(HttpResponseStatus.NOT_FOUND, "no route" + version);
    }
    String workspace = null;
    if (desired.keysRequired() && !route.get().open()) {
      Optional<Workspace> holder = Optional.ofNullable(said.key()).flatMap(desired::workspace);
      if (holder.isEmpty()) {
        return new Denied(HttpResponseStatus.UNAUTHORIZED, "unknown key" + version);
      }
      workspace = holder.get().name();
    }
    String service = route.get().service(routing.random().nextDouble());
    return new Resolved(route.get(), desired.service(service).orElseThrow(), workspace);
  }
}
