package org.clementinesail.core.desired;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds entries of a valid desired state that can never take effect, and limits that contradict
 * each other. Such a version is accepted; an operator should see the warnings before sending it.
 */
public final class ConfigurationWarnings {
  /** Ranks that targets distinguish; higher ones are sent as the highest. */
  private static final int MAX_RANK = 9;

  private final DesiredParts parts;
  private final List<Warning> warnings = new ArrayList<>();

  /** Kind of the entry that a warning is about. */
  public enum Section {
    /** An entry of the routes. */
    ROUTE,
    /** An entry of the services. */
    SERVICE,
    /** An entry of the workspaces. */
    WORKSPACE,
    /** The limits of requests. */
    LIMITS
  }

  /**
   * A warning.
   *
   * @param section kind of the entry
   * @param index position of the entry in its section; 0 for the limits
   * @param name name of the entry; empty for the limits
   * @param problem what is wrong, without the name
   */
  public record Warning(Section section, int index, String name, String problem) {}

  private ConfigurationWarnings(DesiredParts parts) {
    this.parts = parts;
  }

  /**
   * Returns the warnings for a version, in the order of its sections.
   *
   * @param parts parts of the version
   */
  public static List<Warning> of(DesiredParts parts) {
    ConfigurationWarnings check = new ConfigurationWarnings(parts);
    check.checkRoutes();
    check.checkServices();
    check.checkWorkspaces();
    check.checkLimits();
    return List.copyOf(check.warnings);
  }

  private void checkRoutes() {
    for (int i = 0; i < parts.routes().size(); i++) {
      Route route = parts.routes().get(i);
      checkMatch(i, route);
      checkTimes(i, route);
      for (Route.Split split : route.splits()) {
        if (split.weight() == 0) {
          warn(i, route, "never sends to service " + split.service() + ", whose weight is 0");
        }
      }
      if (route.resumable() && route.kind() != Route.Kind.STREAM) {
        warn(i, route, "is no stream, so that it may be resumed has no effect");
      }
      if (route.priority() < 0 || route.priority() > MAX_RANK) {
        warn(i, route, "has priority " + route.priority() + ", which is capped to 0 to 9");
      }
    }
  }

  private void checkMatch(int index, Route route) {
    if (route.host().isEmpty() || route.host().indexOf(':') >= 0) {
      warn(
          index,
          route,
          "never matches: its host must be a name without a port, and is '" + route.host() + "'");
    }
    String prefix = route.pathPrefix();
    if (!prefix.startsWith("/") || prefix.indexOf('?') >= 0 || prefix.indexOf('#') >= 0) {
      warn(index, route, "never matches: no path begins with '" + prefix + "'");
    } else if (!prefix.endsWith("/")) {
      warn(index, route, "has a prefix that does not end with a slash: '" + prefix + "'");
    }
  }

  private void checkTimes(int index, Route route) {
    long timeout = route.timeoutMillis();
    if (route.targetLatencyMillis() > timeout) {
      warn(
          index,
          route,
          "has a target latency of "
              + route.targetLatencyMillis()
              + " ms, above its timeout of "
              + timeout
              + " ms");
    }
    if (route.maxPauseMillis() > timeout) {
      warn(
          index,
          route,
          "allows pauses of " + route.maxPauseMillis() + " ms, above its timeout of " + timeout);
    }
    if (route.maxAttempts() < 1) {
      warn(index, route, "allows " + route.maxAttempts() + " attempts; 1 is used");
    }
  }

  private void checkServices() {
    Set<String> used = new HashSet<>();
    parts.routes().forEach(route -> route.splits().forEach(split -> used.add(split.service())));
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < parts.services().size(); i++) {
      Service service = parts.services().get(i);
      if (!seen.add(service.name())) {
        warn(Section.SERVICE, i, service.name(), "is listed more than once; the last entry counts");
      }
      if (!used.contains(service.name())) {
        warn(Section.SERVICE, i, service.name(), "is named by no route");
      }
      EngineModel engine = service.engine();
      if (engine != null
          && engine.accelerators().stream()
              .allMatch(kind -> kind.maxLayers(engine.layerMegabytes()) < 1)) {
        warn(Section.SERVICE, i, service.name(), "has no accelerator that can hold one layer");
      }
    }
  }

  private void checkWorkspaces() {
    for (int i = 0; i < parts.workspaces().size(); i++) {
      Workspace workspace = parts.workspaces().get(i);
      if (workspace.keys().isEmpty()) {
        warn(Section.WORKSPACE, i, workspace.name(), "has no key, so that no caller belongs to it");
      }
      if (workspace.priority() < -1 || workspace.priority() > MAX_RANK) {
        String problem = "has priority " + workspace.priority() + ", which is capped to 0 to 9";
        warn(Section.WORKSPACE, i, workspace.name(), problem);
      }
    }
    boolean keysUseless =
        !parts.workspaces().isEmpty() && parts.routes().stream().allMatch(Route::keyless);
    if (keysUseless && !parts.routes().isEmpty()) {
      warn(
          Section.WORKSPACE,
          0,
          parts.workspaces().get(0).name(),
          "is not used: no route needs a key");
    }
  }

  private void checkLimits() {
    RequestLimits limits = parts.limits();
    int readable = RequestLimits.DEFAULT.maxHeaderBytes();
    if (limits.maxHeaderBytes() > readable) {
      String problem = "allow heads of " + limits.maxHeaderBytes() + " bytes; VMs read " + readable;
      warn(Section.LIMITS, 0, "", problem);
    }
    if (limits.headerTimeoutMillis() > limits.idleTimeoutMillis()) {
      warn(
          Section.LIMITS,
          0,
          "",
          "allow "
              + limits.headerTimeoutMillis()
              + " ms for a head, above the idle timeout of "
              + limits.idleTimeoutMillis()
              + " ms");
    }
    if (limits.maxBodyBytes() <= 0 || limits.maxHeaderBytes() <= 0) {
      warn(Section.LIMITS, 0, "", "allow no request: a size is 0 or less");
    }
  }

  private void warn(int index, Route route, String problem) {
    warn(Section.ROUTE, index, route.name(), problem);
  }

  private void warn(Section section, int index, String name, String problem) {
    warnings.add(new Warning(section, index, name, problem));
  }
}
