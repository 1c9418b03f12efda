package org.clementinesail.core.desired;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One valid version of the desired state, indexed for lookups.
 *
 * <pre>{@code
 * CheckResult result = DesiredState.check(7, routes, services, workspaces, limits);
 * if (result instanceof DesiredState.Valid valid) {
 *   Optional<Route> route = valid.state().route("shop.example", "/orders/17");
 * }
 * }</pre>
 */
public final class DesiredState {
  /** Result of a check. */
  public sealed interface CheckResult {}

  /**
   * The desired state is valid.
   *
   * @param state the indexed desired state
   */
  public record Valid(DesiredState state) implements CheckResult {}

  /**
   * The desired state is invalid and must be refused.
   *
   * @param reason the first problem found, with the name of the route or workspaces
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
   * Checks and indexes the parts of a desired state.
   *
   * @param version number of the version
   * @param routes routes, unique by host and path prefix
   * @param services services that the routes name
   * @param workspaces workspaces with distinct keys; if empty, no request needs a key
   * @param limits sizes and timeouts of requests
   */
  public static CheckResult check(
      long version,
      List<Route> routes,
      List<Service> services,
      List<Workspace> workspaces,
      RequestLimits limits) {
    DesiredState state = new DesiredState(version, !workspaces.isEmpty(), limits);
    services.forEach(service -> state.services.put(service.name(), service));
    Map<Map.Entry<String, String>, Route> known = new HashMap<>();
    for (Route route : routes) {
      Optional<String> problem = state.addRoute(route, known);
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

  /**
   * Adds a route; returns the problem if it is invalid.
   *
   * @param known routes added so far, by host in lower case and path prefix
   */
  private Optional<String> addRoute(Route route, Map<Map.Entry<String, String>, Route> known) {
    if (route.timeoutMillis() <= 0) {
      return Optional.of(
          "route " + route.name() + " has a timeout of 0 or less; it must be positive");
    }
    double weights = 0;
    for (Route.Split split : route.splits()) {
      if (!services.containsKey(split.service())) {
        return Optional.of(
            "route " + route.name() + " names the unknown service " + split.service());
      }
      if (split.weight() < 0) {
        return Optional.of(
            "route " + route.name() + " has a negative weight; it must be 0 or more");
      }
      weights += split.weight();
    }
    if (weights <= 0) {
      return Optional.of(
          "the weights of route " + route.name() + " add up to 0; one must be positive");
    }
    String host = route.host().toLowerCase(Locale.ROOT);
    Route other = known.putIfAbsent(Map.entry(host, route.pathPrefix()), route);
    if (other != null) {
      return Optional.of(
          "routes " + other.name() + " and " + route.name() + " share host and prefix");
    }
    routesByHost.computeIfAbsent(host, key -> new ArrayList<>()).add(route);
    return Optional.empty();
  }

  /** Returns the version number. */
  public long version() {
    return version;
  }

  /** Returns the sizes and timeouts of requests. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns whether requests need an API key, except on keyless routes. */
  public boolean keysRequired() {
    return keysRequired;
  }

  /**
   * Returns the route with the longest prefix of a path, or empty if none matches.
   *
   * @param host value of the Host header, in any case, with or without a port
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
   * Returns a service, or empty if its name is unknown.
   *
   * @param name name of the service
   */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services in no particular order. */
  public List<Service> services() {
    return List.copyOf(services.values());
  }

  /** Returns all routes in no particular order. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /** Returns all workspaces that have a key, in no particular order. */
  public List<Workspace> workspaces() {
    return workspacesByKey.values().stream().distinct().toList();
  }

  /** Returns the names of all services. */
  public Set<String> serviceNames() {
    return Set.copyOf(services.keySet());
  }

  /**
   * Returns the workspace with an API key, or empty if the key is unknown.
   *
   * @param key API key as the caller sent it
   */
  public Optional<Workspace> workspaceByKey(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }

  /**
   * Returns the shortest time within which an answer of a service has its full value, over the
   * routes that use it and state one, in milliseconds; {@link Long#MAX_VALUE} if none does.
   *
   * @param service name of the service
   */
  public long shortestTargetLatencyMillis(String service) {
    return routesByHost.values().stream()
        .flatMap(List::stream)
        .filter(r -> r.splits().stream().anyMatch(s -> s.service().equals(service)))
        .mapToLong(Route::targetLatencyMillis)
        .filter(millis -> millis > 0)
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
