package org.clementinesail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Formats the JSON status of the VMs and targets as text tables. */
final class StatusTable {
  private static final String COLUMN_GAP = "  ";

  private StatusTable() {}

  static String render(JsonNode status) {
    StringBuilder out = new StringBuilder();
    JsonNode control = status.path("control");
    if (control.isMissingNode()) {
      out.append("control: no leader is known\n");
    } else {
      out.append("control: leader ")
          .append(control.path("leader").asText())
          .append(", epoch ")
          .append(control.path("epoch").asText())
          .append(", accepted index ")
          .append(control.path("accepted_index").asText())
          .append(", voters ")
          .append(joined(control.path("voters")))
          .append(", learners ")
          .append(joined(control.path("learners")))
          .append('\n');
    }
    out.append('\n').append(vms(status.path("vms")));
    out.append('\n').append(targets(status.path("targets")));
    return out.toString();
  }

  private static String vms(JsonNode vms) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(
        List.of("VM", "DATA CENTRE", "STATE", "RULES", "REQUESTS", "REPLICA", "EPOCH", "VERSION"));
    for (JsonNode vm : vms) {
      if (!vm.path("reachable").asBoolean()) {
        rows.add(List.of(text(vm, "vm"), "?", "unreachable", "?", "?", "?", "?", "?"));
        continue;
      }
      rows.add(
          List.of(
              text(vm, "vm"),
              text(vm, "data_centre"),
              state(vm),
              text(vm, "rules_in_force"),
              text(vm, "requests_running"),
              text(vm, "replica"),
              text(vm, "epoch"),
              text(vm, "version")));
    }
    return table(rows);
  }

  private static String state(JsonNode vm) {
    if (vm.path("draining").asBoolean()) {
      return "stopping";
    }
    return vm.path("ready").asBoolean() ? "ready" : "not ready";
  }

  private static String targets(JsonNode targets) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("TARGET", "SERVES", "LAYERS", "DATA CENTRE", "STATE", "RUNNING", "QUEUED"));
    for (JsonNode target : targets) {
      rows.add(
          List.of(
              text(target, "name"),
              text(target, "serves"),
              target.path("layers").asText("-"),
              text(target, "data_centre"),
              text(target, "state"),
              text(target, "running"),
              text(target, "queued")));
    }
    return table(rows);
  }

  private static String table(List<List<String>> rows) {
    int columns = rows.get(0).size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    StringBuilder out = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < columns; i++) {
        line.append(row.get(i))
            .append(" ".repeat(widths[i] - row.get(i).length()))
            .append(COLUMN_GAP);
      }
      out.append(line.toString().stripTrailing()).append('\n');
    }
    return out.toString();
  }

  private static String joined(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(name -> names.add(name.asText()));
    return names.isEmpty() ? "none" : String.join(" ", names);
  }

  private static String text(JsonNode row, String name) {
    return row.path(name).asText();
  }
}
