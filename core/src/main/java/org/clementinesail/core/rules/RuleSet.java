package org.clementinesail.core.rules;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The rules of one file, indexed for the lookups that routing makes for every request.
 *
 * <pre>{@code
 * RuleSet rules = ...;
 * Optional<Rule.Route> route = rules.route("guides", DestinationKind.MODEL, "sail-lm");
 * }</pre>
 */
public final class RuleSet {
  /** The rule set in force before any file is accepted; it has no routes, so it allows nothing. */
  public static final RuleSet EMPTY = new RuleSet(0, List.of());

  private static final String ANY = "*";

  private final long number;
  private final List<Rule> rules;
  private final Map<RouteKey, Rule.Route> routes = new HashMap<>();
  private final Map<String, Rule.Limit> limits = new HashMap<>();
  private final Map<String, Rule.Want> wants = new HashMap<>();
  private final Set<String> drained = new HashSet<>();

  private record RouteKey(String workspace, Rule.DestinationKind kind, String destination) {}

  RuleSet(long number, List<Rule> rules) {
    this.number = number;
    this.rules = List.copyOf(rules);
    for (Rule rule : rules) {
      if (rule instanceof Rule.Route r) {
        routes.put(new RouteKey(r.workspace(), r.kind(), r.destination()), r);
      } else if (rule instanceof Rule.Limit l) {
        limits.put(l.workspace(), l);
      } else if (rule instanceof Rule.Want w) {
        wants.put(w.model(), w);
      } else if (rule instanceof Rule.Drain d) {
        drained.add(d.target());
      }
    }
  }

  /** Returns the number of the rule file; 0 if no file has been accepted yet. */
  public long number() {
    return number;
  }

  /** Returns the rules in the order of the file. */
  public List<Rule> rules() {
    return rules;
  }

  /**
   * Returns the route that lets a workspace use a destination, or empty if there is none. A rule
   * that names the workspace overrides a rule for every workspace.
   *
   * @param workspace workspace that makes the call
   * @param kind whether the destination is a model or a service
   * @param destination model or service name
   */
  public Optional<Rule.Route> route(
      String workspace, Rule.DestinationKind kind, String destination) {
    Rule.Route own = routes.get(new RouteKey(workspace, kind, destination));
    if (own != null) {
      return Optional.of(own);
    }
    return Optional.ofNullable(routes.get(new RouteKey(ANY, kind, destination)));
  }

  /**
   * Returns the limit of a workspace; else the limit for workspaces without one of their own, or
   * empty if there is none.
   *
   * @param workspace workspace that makes the call
   */
  public Optional<Rule.Limit> limit(String workspace) {
    Rule.Limit own = limits.get(workspace);
    return own != null ? Optional.of(own) : Optional.ofNullable(limits.get(ANY));
  }

  /**
   * Returns whether a service call may run more than once. The rule with the longest matching path
   * prefix applies; a call that no rule matches may not be repeated.
   *
   * @param service service name
   * @param method HTTP method in capitals
   * @param path path within the service, starting with a slash
   */
  public boolean repeatable(String service, String method, String path) {
    Rule.Call best = null;
    for (Rule rule : rules) {
      if (rule instanceof Rule.Call call && matches(call, service, method, path)) {
        if (best == null || call.pathPrefix().length() > best.pathPrefix().length()) {
          best = call;
        }
      }
    }
    return best != null && best.repeatable();
  }

  /**
   * Returns whether a rule excludes a target from new work.
   *
   * @param target target name; an unknown target is not drained
   */
  public boolean drained(String target) {
    return drained.contains(target);
  }

  private static boolean matches(Rule.Call call, String service, String method, String path) {
    return call.service().equals(service)
        && (call.method().equals(ANY) || call.method().equals(method))
        && matchesPath(call.pathPrefix(), path);
  }

  private static boolean matchesPath(String prefix, String path) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return prefix.endsWith("/")
        || path.length() == prefix.length()
        || path.charAt(prefix.length()) == '/';
  }
}
