package org.clementinesail.server.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinesail.core.rules.NearestWord;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * Reads typed values from one YAML mapping of a settings file and collects all problems.
 *
 * <p>For a missing or invalid value that it reports, an accessor returns a placeholder, so that
 * reading continues and finds the other problems.
 */
final class YamlSection {
  private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|min)");
  private static final Pattern SIZE = Pattern.compile("([0-9]{1,9})(B|KiB|MiB)");
  private static final Pattern ADDRESS =
      Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;

  private final String path;
  private final int line;
  private final List<SettingsProblem> problems;
  private final Map<String, Node> values = new LinkedHashMap<>();
  private final Map<String, Integer> keyLines = new LinkedHashMap<>();
  private final Set<String> allowedKeys = new TreeSet<>();

  YamlSection(String path, int line, @Nullable Node node, List<SettingsProblem> problems) {
    this.path = path;
    this.line = line;
    this.problems = problems;
    if (node instanceof MappingNode mapping) {
      mapping.getValue().forEach(this::addEntry);
    } else if (node != null) {
      problems.add(new SettingsProblem(lineOf(node), "'" + path + "' must be a mapping of keys"));
    }
  }

  private void addEntry(NodeTuple entry) {
    String key = entry.getKeyNode() instanceof ScalarNode s ? s.getValue() : "?";
    int keyLine = lineOf(entry.getKeyNode());
    if (values.putIfAbsent(key, entry.getValueNode()) != null) {
      problems.add(new SettingsProblem(keyLine, "key '" + qualifiedName(key) + "' is given twice"));
    }
    keyLines.putIfAbsent(key, keyLine);
  }

  /** Reports every key that was not read before; call it after all accessors. */
  void reportUnknownKeys() {
    for (String key : values.keySet()) {
      if (!allowedKeys.contains(key)) {
        addProblem(
            key,
            "unknown key '"
                + qualifiedName(key)
                + "', allowed are "
                + String.join(", ", allowedKeys)
                + NearestWord.didYouMean(key, allowedKeys));
      }
    }
  }

  boolean has(String key) {
    allowedKeys.add(key);
    return values.containsKey(key);
  }

  YamlSection section(String key) {
    allowedKeys.add(key);
    return new YamlSection(
        qualifiedName(key), keyLines.getOrDefault(key, line), values.get(key), problems);
  }

  List<YamlSection> sections(String key) {
    allowedKeys.add(key);
    Node node = values.get(key);
    List<YamlSection> sections = new ArrayList<>();
    if (node instanceof SequenceNode sequence) {
      for (Node item : sequence.getValue()) {
        sections.add(new YamlSection(qualifiedName(key) + "[]", lineOf(item), item, problems));
      }
    } else if (node != null) {
      addProblem(key, "'" + qualifiedName(key) + "' must be a list");
    }
    return sections;
  }

  String text(String key) {
    String value = scalar(key);
    if (value == null || value.isBlank()) {
      addProblem(key, "'" + qualifiedName(key) + "' is missing; it must be a text");
      return "";
    }
    return value;
  }

  boolean flag(String key, boolean defaultValue) {
    String value = scalar(key);
    if (value == null) {
      return defaultValue;
    }
    if (!value.equals("true") && !value.equals("false")) {
      addProblem(
          key, "'" + qualifiedName(key) + "' is '" + value + "'; allowed are true and false");
    }
    return value.equals("true");
  }

  int count(String key, int defaultValue, int min, int max) {
    String value = scalar(key);
    if (value == null) {
      return defaultValue;
    }
    if (!value.matches("[0-9]{1,9}")
        || Integer.parseInt(value) < min
        || Integer.parseInt(value) > max) {
      addProblem(
          key,
          "'"
              + qualifiedName(key)
              + "' is '"
              + value
              + "'; allowed are whole numbers from "
              + min
              + " to "
              + max);
      return defaultValue;
    }
    return Integer.parseInt(value);
  }

  Duration duration(String key, Duration defaultValue) {
    String value = scalar(key);
    if (value == null) {
      return defaultValue;
    }
    Matcher match = DURATION.matcher(value);
    if (!match.matches() || Long.parseLong(match.group(1)) == 0) {
      addProblem(
          key,
          "'"
              + qualifiedName(key)
              + "' is '"
              + value
              + "'; it must be a whole number above 0 with a unit, ms, s or min, such as 500ms");
      return defaultValue;
    }
    long amount = Long.parseLong(match.group(1));
    return switch (match.group(2)) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      default -> Duration.ofMinutes(amount);
    };
  }

  long size(String key, long defaultValue) {
    String value = scalar(key);
    if (value == null) {
      return defaultValue;
    }
    Matcher match = SIZE.matcher(value);
    if (!match.matches() || Long.parseLong(match.group(1)) == 0) {
      addProblem(
          key,
          "'"
              + qualifiedName(key)
              + "' is '"
              + value
              + "'; it must be a whole number above 0 with a unit, B, KiB or MiB, such as 1MiB");
      return defaultValue;
    }
    long amount = Long.parseLong(match.group(1));
    return switch (match.group(2)) {
      case "B" -> amount;
      case "KiB" -> amount * 1_024;
      default -> amount * 1_024 * 1_024;
    };
  }

  InetSocketAddress address(String key) {
    String value = scalar(key);
    if (value == null) {
      addProblem(
          key,
          "'" + qualifiedName(key) + "' is missing; it must be an address such as 10.0.0.1:8100");
      return new InetSocketAddress(0);
    }
    Matcher match = ADDRESS.matcher(value);
    if (!match.matches() || !validHost(match.group(1)) || !validPort(match.group(2))) {
      addProblem(
          key,
          "'"
              + qualifiedName(key)
              + "' is '"
              + value
              + "'; it must be an IP number and a port, such as 10.0.0.1:8100");
      return new InetSocketAddress(0);
    }
    return new InetSocketAddress(match.group(1), Integer.parseInt(match.group(2)));
  }

  void addProblem(String key, String problem) {
    problems.add(new SettingsProblem(keyLines.getOrDefault(key, line), problem));
  }

  private @Nullable String scalar(String key) {
    allowedKeys.add(key);
    Node node = values.get(key);
    if (node == null) {
      return null;
    }
    if (!(node instanceof ScalarNode scalar)) {
      addProblem(key, "'" + qualifiedName(key) + "' must be a single value");
      return null;
    }
    return scalar.getValue();
  }

  private String qualifiedName(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private static boolean validPort(String port) {
    int number = Integer.parseInt(port);
    return number > 0 && number <= MAX_PORT;
  }

  private static boolean validHost(String host) {
    if (host.startsWith("[")) {
      return true;
    }
    for (String octet : host.split("\\.")) {
      if (Integer.parseInt(octet) > MAX_OCTET) {
        return false;
      }
    }
    return true;
  }

  private static int lineOf(Node node) {
    return node.getStartMark().map(mark -> mark.getLine() + 1).orElse(0);
  }
}
