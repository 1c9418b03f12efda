package org.clementinesail.core.desired;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the desired state, checked and indexed for look-ups.
 *
 * <pre>{@code
 * Checked checked = DesiredState.check(7, routes, services, workspaces, limits);
 * if (checked instanceof DesiredState.Valid valid) {
 *   Optional<Route> route = valid.state().route("shop.example", "/orders/17");
 * }
 * }</pre>
 */
public final class DesiredState {
  /** What a check came to. */
  public sealed interface CheckResult {}

  /**
   * The state may be put in force.
   *
   * @param state the state
   */
  public record Valid(DesiredState state) implements CheckResult {}

  /**
   * The state must be refused.
   *
   * @param reason what is wrong, with the object it concerns
   */
  public record Invalid(String reason) implements CheckResult {}

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Workspace> workspacesByKey = new HashMap<>();
  private final boolean keysRequired;
  private final RequestLimits limits;

  private DesiredState(long version, boolean keysRequired, RequestLimits limits) {
    this.version = version;
    this.keysRequired = keysRequired;
    this.limits = limits;
  }

  /**
   * Checks the parts of a desired state.
   *
   * @param version number of the version
   * @param routes the routes
   * @param services the services
   * @param workspaces the workspaces
   * @param limits limits on requests
   */
  public static CheckResult check(
      long version,
      List<Route> routes,
      List<Service> services,
      List<Workspace> workspaces,
      RequestLimits limits) {
    DesiredState state = new DesiredState(version, !workspaces.isEmpty(), limits);
    services.forEach(service -> state.services.put(service.name(), service));
    for (Route route : routes) {
      Optional<String> problem = state.addRoute(route);
      if (problem.isPresent()) {
        return new Invalid(problem.get());
      }
    }
    for (Workspace workspace : workspaces) {
      for (String key : workspace.keys()) {
        Workspace other = state.workspacesByKey.put(key, workspace);
        if (other != null && !other.name().equals(workspace.name())) {
          return new Invalid(
              "workspaces " + other.name() + " and " + workspace.name() + " share a key");
        }
      }
    }
    Comparator<Route> longestPrefixFirst = Comparator.comparingInt(r -> -r.pathPrefix().length());
    state.routesByHost.values().forEach(list -> list.sort(longestPrefixFirst));
    return new Valid(state);
  }

  private Optional<String> addRoute(Route route) {
    if (route.timeoutMillis() <= 0) {
      return Optional.of("route " + route.name() + " has a timeout of 0; it must be positive");
    }
    double weights = 0;
    for (Route.Split split : route.splits()) {
      if (!services.containsKey(split.service())) {
        return Optional.of(
            "route " + route.name() + " names the unknown service " + split.service());
      }
      if (split.weight() < 0) {
        return Optional.of("route " + route.name() + " has a negative weight");
      }
      weights += split.weight();
    }
    if (weights <= 0) {
      return Optional.of("the weights of route " + route.name() + " add up to 0");
    }
    List<Route> hostRoutes =
        routesByHost.computeIfAbsent(
            route.host().toLowerCase(Locale.ROOT), key -> new ArrayList<>());
    for (Route other : hostRoutes) {
      if (other.pathPrefix().equals(route.pathPrefix())) {
        return Optional.of(
            "routes " + other.name() + " and " + route.name() + " share host and prefix");
      }
    }
    hostRoutes.add(route);
    return Optional.empty();
  }

  /** Returns the number of the version. */
  public long version() {
    return version;
  }

  /** Returns the limits on requests. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns whether requests need a key unless their route is open. */
  public boolean keysRequired() {
    return keysRequired;
  }

  /**
   * Returns the route with the longest prefix that begins a path.
   *
   * @param host value of the Host header, with or without a port
   * @param path path of the request, without query
   */
  public Optional<Route> route(String host, String path) {
    int colon = host.indexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    List<Route> routes = routesByHost.getOrDefault(name.toLowerCase(Locale.ROOT), List.of());
    for (Route route : routes) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns a service.
   *
   * @param name name of the service
   */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public List<Service> services() {
    return List.copyOf(services.values());
  }

  /**
   * Returns the workspace that holds a key.
   *
   * @param key API key
   */
  public Optional<Workspace> workspaceByKey(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }
}
