package org.clementinesail.core.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.clementinesail.core.rules.Rule.DestinationKind;
import org.clementinesail.core.rules.Rule.Priority;
import org.jspecify.annotations.Nullable;

/**
 * Parses a rule file: one rule per line, each with a comment that names who asked for it.
 *
 * <pre>{@code
 * number 12                                  # Gwen: spring term
 * route workspace=guides model=sail-lm       # Gwen: folding guides
 * call service=shop-app path=/orders repeat=never   # Tomos: orders bill twice otherwise
 * }</pre>
 */
public final class RuleParser {
  private static final Set<String> RULE_TYPES =
      new TreeSet<>(Set.of("number", "route", "limit", "call", "drain", "want"));
  private static final Map<String, Set<String>> KEYS_BY_RULE_TYPE =
      Map.of(
          "number", Set.of(),
          "route", new TreeSet<>(Set.of("workspace", "model", "service", "prefer", "class")),
          "limit", new TreeSet<>(Set.of("workspace", "rate", "concurrent")),
          "call", new TreeSet<>(Set.of("service", "method", "path", "repeat")),
          "drain", Set.of("target"),
          "want", new TreeSet<>(Set.of("model", "replicas")));
  private static final Set<String> METHODS =
      new TreeSet<>(Set.of("*", "DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"));
  private static final int MAX_LINE_CHARS = 1_000;

  /** Upper limit of {@code replicas} and {@code concurrent}. */
  private static final int MAX_COUNT = 1_000_000;

  /** Upper limit of {@code rate}. */
  private static final double MAX_REQUESTS_PER_SECOND = 1e9;

  private final List<RuleFault> faults = new ArrayList<>();
  private final List<Rule> rules = new ArrayList<>();
  private final Map<String, Integer> firstLines = new HashMap<>();
  private long number;

  private RuleParser() {}

  /**
   * Parses the text of a rule file; reports all faults, not only the first.
   *
   * @param text whole text of the file; lines are separated by {@code \n} or {@code \r\n}
   */
  public static RuleParseResult parse(String text) {
    RuleParser parser = new RuleParser();
    String[] lines = text.split("\r?\n", -1);
    for (int i = 0; i < lines.length; i++) {
      parser.parseLine(i + 1, lines[i]);
    }
    if (parser.number == 0 && !parser.firstLines.containsKey("number")) {
      parser.addFault(
          1, "the file has no number; begin it with a line such as 'number 12  # who: why'");
    }
    if (!parser.faults.isEmpty()) {
      return new RuleParseResult.Invalid(List.copyOf(parser.faults));
    }
    return new RuleParseResult.Valid(new RuleSet(parser.number, parser.rules));
  }

  private void parseLine(int line, String raw) {
    String trimmed = raw.strip();
    if (trimmed.isEmpty() || trimmed.startsWith("#")) {
      return;
    }
    if (raw.length() > MAX_LINE_CHARS) {
      addFault(line, "the line has more than " + MAX_LINE_CHARS + " characters");
      return;
    }
    int hash = trimmed.indexOf('#');
    String requester = hash < 0 ? "" : trimmed.substring(hash + 1).strip();
    String body = hash < 0 ? trimmed : trimmed.substring(0, hash).strip();
    if (requester.isEmpty()) {
      addFault(line, "the rule has no comment; end the line with '# who asked: why'");
    }
    String[] words = body.split("\\s+");
    String ruleType = words[0];
    if (!RULE_TYPES.contains(ruleType)) {
      addFault(
          line,
          "unknown rule '"
              + ruleType
              + "', allowed are "
              + String.join(", ", RULE_TYPES)
              + NearestWord.didYouMean(ruleType, RULE_TYPES));
      return;
    }
    if (ruleType.equals("number")) {
      parseNumber(line, words);
      return;
    }
    Fields fields = new Fields(line, ruleType, words);
    Rule rule = buildRule(fields, requester);
    if (fields.valid) {
      rules.add(rule);
    }
  }

  private void parseNumber(int line, String[] words) {
    Integer first = firstLines.putIfAbsent("number", line);
    if (first != null) {
      addFault(line, "a second 'number' line; the first is line " + first);
      return;
    }
    if (words.length != 2 || !words[1].matches("[1-9][0-9]{0,17}")) {
      addFault(line, "'number' takes one whole number from 1 to 999999999999999999");
      return;
    }
    number = Long.parseLong(words[1]);
  }

  private Rule buildRule(Fields fields, String requester) {
    return switch (fields.ruleType) {
      case "route" -> route(fields, requester);
      case "limit" -> limit(fields, requester);
      case "call" -> call(fields, requester);
      case "drain" -> drain(fields, requester);
      default -> want(fields, requester);
    };
  }

  private Rule drain(Fields fields, String requester) {
    String target = fields.required("target");
    requireUnique(fields.line, "drain target=" + target);
    return new Rule.Drain(fields.line, requester, target);
  }

  private Rule want(Fields fields, String requester) {
    String model = fields.required("model");
    requireUnique(fields.line, "want model=" + model);
    int replicas = (int) fields.number("replicas", 1, MAX_COUNT, true);
    return new Rule.Want(fields.line, requester, model, replicas);
  }

  private Rule route(Fields fields, String requester) {
    String workspace = fields.required("workspace");
    String model = fields.optional("model");
    String service = fields.optional("service");
    if ((model == null) == (service == null)) {
      fields.fail("'route' takes exactly one of model= and service=");
    }
    DestinationKind kind = model != null ? DestinationKind.MODEL : DestinationKind.SERVICE;
    String destination = model != null ? model : service == null ? "" : service;
    requireUnique(fields.line, "route workspace=" + workspace + " to " + kind + " " + destination);
    String priorityName = fields.optional("class");
    Priority priority = Priority.NORMAL;
    if (priorityName != null) {
      priority = fields.choice("class", priorityName, Priority.values());
    }
    return new Rule.Route(
        fields.line, requester, workspace, kind, destination, fields.optional("prefer"), priority);
  }

  private Rule limit(Fields fields, String requester) {
    String workspace = fields.required("workspace");
    requireUnique(fields.line, "limit workspace=" + workspace);
    double rate = fields.number("rate", Double.MIN_VALUE, MAX_REQUESTS_PER_SECOND, false);
    int concurrent = (int) fields.number("concurrent", 1, MAX_COUNT, true);
    return new Rule.Limit(fields.line, requester, workspace, rate, concurrent);
  }

  private Rule call(Fields fields, String requester) {
    String service = fields.required("service");
    String method = fields.optional("method");
    if (method == null) {
      method = "*";
    } else if (!METHODS.contains(method)) {
      fields.fail(
          "method '"
              + method
              + "' is not one of "
              + String.join(", ", METHODS)
              + NearestWord.didYouMean(method, METHODS));
    }
    String path = fields.required("path");
    if (!path.startsWith("/")) {
      fields.fail("path '" + path + "' must start with '/'");
    }
    requireUnique(fields.line, "call service=" + service + " method=" + method + " path=" + path);
    String repeat = fields.required("repeat");
    Set<String> allowed = new TreeSet<>(Set.of("safe", "never"));
    if (!allowed.contains(repeat)) {
      fields.fail(
          "repeat '"
              + repeat
              + "' is not one of never, safe"
              + NearestWord.didYouMean(repeat, allowed));
    }
    return new Rule.Call(fields.line, requester, service, method, path, repeat.equals("safe"));
  }

  private void requireUnique(int line, String rule) {
    Integer first = firstLines.putIfAbsent(rule, line);
    if (first != null) {
      addFault(line, "'" + rule + "' is already defined in line " + first);
    }
  }

  private void addFault(int line, String problem) {
    faults.add(new RuleFault(line, problem));
  }

  /** The {@code key=value} fields of one line. */
  private final class Fields {
    private final int line;
    private final String ruleType;
    private final Map<String, String> values = new HashMap<>();
    private boolean valid = true;

    Fields(int line, String ruleType, String[] words) {
      this.line = line;
      this.ruleType = ruleType;
      Set<String> keys = KEYS_BY_RULE_TYPE.getOrDefault(ruleType, Set.of());
      for (int i = 1; i < words.length; i++) {
        read(words[i], keys);
      }
    }

    private void read(String word, Set<String> keys) {
      int equals = word.indexOf('=');
      if (equals <= 0 || equals == word.length() - 1) {
        fail("'" + word + "' is not of the form key=value");
        return;
      }
      String key = word.substring(0, equals);
      if (!keys.contains(key)) {
        fail(
            "unknown key '"
                + key
                + "' for '"
                + ruleType
                + "', allowed are "
                + String.join(", ", keys)
                + NearestWord.didYouMean(key, keys));
      } else if (values.putIfAbsent(key, word.substring(equals + 1)) != null) {
        fail("key '" + key + "' is given twice");
      }
    }

    void fail(String problem) {
      valid = false;
      addFault(line, problem);
    }

    String required(String key) {
      String value = values.get(key);
      if (value == null) {
        fail("'" + ruleType + "' needs " + key + "=");
        return "";
      }
      return value;
    }

    @Nullable String optional(String key) {
      return values.get(key);
    }

    Priority choice(String key, String value, Priority[] choices) {
      Set<String> names = new TreeSet<>();
      for (Priority choice : choices) {
        String name = choice.name().toLowerCase(Locale.ROOT);
        names.add(name);
        if (name.equals(value)) {
          return choice;
        }
      }
      fail(
          key
              + " '"
              + value
              + "' is not one of "
              + String.join(", ", names)
              + NearestWord.didYouMean(value, names));
      return Priority.NORMAL;
    }

    double number(String key, double min, double max, boolean wholeNumber) {
      String text = required(key);
      if (text.isEmpty()) {
        return min;
      }
      String pattern = wholeNumber ? "[0-9]{1,9}" : "[0-9]{1,9}(\\.[0-9]{1,6})?(/s)?";
      double value = text.matches(pattern) ? Double.parseDouble(text.replace("/s", "")) : -1;
      if (value < min || value > max) {
        fail(
            key
                + " '"
                + text
                + "' must be a "
                + (wholeNumber
                    ? "whole number from 1 to " + MAX_COUNT
                    : "positive number a second, such as 20/s"));
      }
      return value;
    }
  }
}
