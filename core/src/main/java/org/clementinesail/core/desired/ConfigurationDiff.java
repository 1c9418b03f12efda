package org.clementinesail.core.desired;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Tells in which routes, services, workspaces and limits two versions differ. */
public final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /**
   * Returns one line for each entry that was added, removed or changed, with the fields that
   * changed. API keys are counted, not shown.
   *
   * @param before parts of the earlier version
   * @param after parts of the later version
   */
  public static List<String> between(DesiredParts before, DesiredParts after) {
    List<String> lines = new ArrayList<>();
    if (before.version() != after.version()) {
      lines.add("version " + before.version() + " -> " + after.version());
    }
    compare("route", before.routes(), after.routes(), ConfigurationDiff::routeName, lines);
    compare("service", before.services(), after.services(), Service::name, lines);
    compareWorkspaces(before.workspaces(), after.workspaces(), lines);
    List<String> limits = changedFields(before.limits(), after.limits());
    if (!limits.isEmpty()) {
      lines.add("limits changed: " + String.join(", ", limits));
    }
    return lines;
  }

  private static String routeName(Route route) {
    return route.name().isEmpty() ? route.host() + route.pathPrefix() : route.name();
  }

  private static <T extends Record> void compare(
      String kind, List<T> before, List<T> after, Function<T, String> name, List<String> lines) {
    Map<String, T> old = byName(before, name);
    Map<String, T> current = byName(after, name);
    old.keySet().stream()
        .filter(key -> !current.containsKey(key))
        .forEach(key -> lines.add(kind + " " + key + " removed"));
    current.forEach(
        (key, entry) -> {
          T previous = old.get(key);
          if (previous == null) {
            lines.add(kind + " " + key + " added");
          } else if (!previous.equals(entry)) {
            String fields = String.join(", ", changedFields(previous, entry));
            lines.add(kind + " " + key + " changed: " + fields);
          }
        });
  }

  private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name) {
    Map<String, T> byName = new LinkedHashMap<>();
    entries.forEach(entry -> byName.put(name.apply(entry), entry));
    return byName;
  }

  private static void compareWorkspaces(
      List<Workspace> before, List<Workspace> after, List<String> lines) {
    Map<String, Workspace> old = byName(before, Workspace::name);
    Map<String, Workspace> current = byName(after, Workspace::name);
    old.keySet().stream()
        .filter(name -> !current.containsKey(name))
        .forEach(name -> lines.add("workspace " + name + " removed"));
    current.forEach(
        (name, entry) -> {
          Workspace previous = old.get(name);
          if (previous == null) {
            lines.add("workspace " + name + " added with " + entry.keys().size() + " keys");
          } else if (!previous.equals(entry)) {
            lines.add("workspace " + name + " changed: " + workspaceChange(previous, entry));
          }
        });
  }

  private static String workspaceChange(Workspace before, Workspace after) {
    List<String> changes = new ArrayList<>();
    Set<String> added = new HashSet<>(after.keys());
    before.keys().forEach(added::remove);
    Set<String> removed = new HashSet<>(before.keys());
    after.keys().forEach(removed::remove);
    if (!added.isEmpty()) {
      changes.add(added.size() + " keys added");
    }
    if (!removed.isEmpty()) {
      changes.add(removed.size() + " keys removed");
    }
    if (before.priority() != after.priority()) {
      changes.add("priority " + before.priority() + " -> " + after.priority());
    }
    return changes.isEmpty() ? "order of keys" : String.join(", ", changes);
  }

  private static List<String> changedFields(Record before, Record after) {
    List<String> changes = new ArrayList<>();
    for (RecordComponent field : before.getClass().getRecordComponents()) {
      Object old = value(field, before);
      Object current = value(field, after);
      if (!String.valueOf(old).equals(String.valueOf(current))) {
        changes.add(field.getName() + " " + old + " -> " + current);
      }
    }
    return changes;
  }

  private static Object value(RecordComponent field, Record record) {
    try {
      return String.valueOf(field.getAccessor().invoke(record));
    } catch (IllegalAccessException | InvocationTargetException e) {
      throw new IllegalStateException("cannot read " + field.getName(), e);
    }
  }
}
