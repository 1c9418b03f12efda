package org.clementinesail.core.desired;

import java.util.List;

/**
 * The parts of one version of the desired state, as an operator wrote them; not checked yet.
 *
 * @param version number of the version
 * @param routes routes in the order of the document
 * @param services services in the order of the document
 * @param workspaces workspaces in the order of the document
 * @param limits sizes and timeouts of requests
 */
public record DesiredParts(
    long version,
    List<Route> routes,
    List<Service> services,
    List<Workspace> workspaces,
    RequestLimits limits) {
  /** Makes the lists immutable by copying them. */
  public DesiredParts {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    workspaces = List.copyOf(workspaces);
  }

  /** Checks and indexes the parts. */
  public DesiredState.CheckResult check() {
    return DesiredState.check(version, routes, services, workspaces, limits);
  }
}
