package org.clementinesail.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinesail.core.rules.NearestWord;
import org.clementinesail.core.rules.RuleFault;
import org.clementinesail.core.rules.RuleParseResult;
import org.clementinesail.core.rules.RuleParser;
import org.clementinesail.platform.ConfigurationCheck;
import org.clementinesail.platform.ConfigurationReader;

/**
 * Command line tool for operators.
 *
 * <pre>{@code
 * clementinesail check rules.txt
 * clementinesail submit rules.txt --vm 10.0.0.1:8300 --token-file operator.token
 * clementinesail status --vm 10.0.0.1:8300 --token-file operator.token --json
 * }</pre>
 */
public final class CliMain {
  private static final String VERSION = "0.1.0";
  private static final Set<String> COMMANDS =
      new TreeSet<>(Set.of("check", "help", "status", "submit", "version"));
  private static final String HELP =
      """
      usage: clementinesail COMMAND [FILE] [OPTION...]

        check FILE     check a rule file, or a configuration in JSON, without sending it
        submit FILE    submit a rule file; may be given again after a lost answer
        status         show VMs, replicas, the rules in force and targets
        version        print the version
        help           print this help

      options
        --vm ADDRESS         operators' address of a VM, IP-NUMBER:PORT; may be given more than once
        --token-file FILE    file that holds the operator token
        --operator NAME      who submits; the loser of a race is told (default: the user's name)
        --json               print JSON for scripts; --format json is the same
        --against FILE       check: show what differs from this configuration
        --control ADDRESS    check: show what differs from the one in force, IP-NUMBER:PORT

      exit codes: 0 done, 1 refused or invalid, 2 wrong use, 3 no VM answered or could confirm;
      check of a configuration: 0 no problem, 1 warnings, 2 errors
      """;

  private final PrintStream out;
  private final PrintStream err;
  private final ObjectMapper mapper = new ObjectMapper();
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> vm = parser.accepts("vm").withRequiredArg();
  private final OptionSpec<String> tokenFile = parser.accepts("token-file").withRequiredArg();
  private final OptionSpec<String> operator = parser.accepts("operator").withRequiredArg();
  private final OptionSpec<Void> json = parser.accepts("json");
  private final OptionSpec<String> format = parser.accepts("format").withRequiredArg();
  private final OptionSpec<String> against = parser.accepts("against").withRequiredArg();
  private final OptionSpec<String> control = parser.accepts("control").withRequiredArg();
  private final OptionSpec<Void> help = parser.accepts("help").forHelp();
  private final OptionSpec<String> positionalArguments = parser.nonOptions();

  private CliMain(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs one command and exits the process with its {@link ExitCode}.
   *
   * @param args the command, its file and its options; empty prints the help
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err).number());
  }

  /**
   * Runs one command and returns its exit code.
   *
   * @param args the command, its file and its options; empty prints the help
   * @param out receives results
   * @param err receives error messages
   */
  public static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    try {
      return new CliMain(out, err).run(args);
    } catch (UsageException | OptionException e) {
      err.println("clementinesail: " + e.getMessage());
      return ExitCode.USAGE;
    }
  }

  private ExitCode run(String[] args) throws UsageException {
    OptionSet options = parser.parse(args);
    List<String> positionals = options.valuesOf(positionalArguments);
    if (options.has(help) || positionals.isEmpty()) {
      (positionals.isEmpty() && !options.has(help) ? err : out).print(HELP);
      return options.has(help) ? ExitCode.OK : ExitCode.USAGE;
    }
    return switch (positionals.get(0)) {
      case "help" -> print(HELP);
      case "version" -> print("clementinesail " + VERSION + "\n");
      case "check" -> check(ruleFile(positionals), options);
      case "submit" -> submit(ruleFile(positionals), options);
      case "status" -> status(options);
      default ->
          throw new UsageException(
              "unknown command '"
                  + positionals.get(0)
                  + "', allowed are "
                  + String.join(", ", COMMANDS)
                  + NearestWord.didYouMean(positionals.get(0), COMMANDS));
    };
  }

  private ExitCode print(String text) {
    out.print(text);
    return ExitCode.OK;
  }

  private ExitCode check(String file, OptionSet options) throws UsageException {
    String text = read(file);
    if (text.stripLeading().startsWith("{")) {
      return checkConfiguration(file, text, options);
    }
    RuleParseResult parse = RuleParser.parse(text);
    if (parse instanceof RuleParseResult.Invalid invalid) {
      return reportInvalid(file, invalid, options);
    }
    long number = ((RuleParseResult.Valid) parse).rules().number();
    int rules = ((RuleParseResult.Valid) parse).rules().rules().size();
    if (options.has(json)) {
      return print(mapper.createObjectNode().put("verdict", "valid").put("number", number) + "\n");
    }
    return print(file + ": valid, number " + number + ", " + rules + " rules\n");
  }

  private ExitCode checkConfiguration(String file, String text, OptionSet options)
      throws UsageException {
    if (options.has(against) && options.has(control)) {
      throw new UsageException("--against and --control exclude each other");
    }
    byte[] inForce = null;
    if (options.has(against)) {
      inForce = read(options.valueOf(against)).getBytes(UTF_8);
    } else if (options.has(control)) {
      try {
        inForce = ConfigurationReader.read(options.valueOf(control));
      } catch (IOException e) {
        return reportUnreachable(e);
      }
    }
    ConfigurationCheck.Report report = ConfigurationCheck.run(text.getBytes(UTF_8), inForce);
    out.print(wantsJson(options) ? report.json() : report.text(file));
    return switch (report.exitCode()) {
      case 0 -> ExitCode.OK;
      case 1 -> ExitCode.WARNINGS;
      default -> ExitCode.INVALID;
    };
  }

  private boolean wantsJson(OptionSet options) throws UsageException {
    if (options.has(format) && !Set.of("json", "text").contains(options.valueOf(format))) {
      throw new UsageException("--format takes json or text");
    }
    return options.has(json) || "json".equals(options.valueOf(format));
  }

  private ExitCode reportInvalid(String file, RuleParseResult.Invalid invalid, OptionSet options) {
    if (options.has(json)) {
      ObjectNode body = mapper.createObjectNode().put("verdict", "invalid");
      ArrayNode faults = body.putArray("faults");
      for (RuleFault fault : invalid.faults()) {
        faults.addObject().put("line", fault.line()).put("problem", fault.problem());
      }
      out.println(body);
    } else {
      invalid.faults().forEach(fault -> err.println(fault.describe(file)));
    }
    return ExitCode.REFUSED;
  }

  private ExitCode submit(String file, OptionSet options) throws UsageException {
    String text = read(file);
    if (RuleParser.parse(text) instanceof RuleParseResult.Invalid invalid) {
      return reportInvalid(file, invalid, options);
    }
    String name =
        options.has(operator) ? options.valueOf(operator) : System.getProperty("user.name", "?");
    OperatorClient.Answer answer;
    try {
      answer = client(options).submit(text, name);
    } catch (IOException e) {
      return reportUnreachable(e);
    }
    if (options.has(json)) {
      out.println(answer.body());
    } else {
      (answer.status() == 200 ? out : err).println(file + ": " + describe(answer.body()));
    }
    return exitCode(answer.status());
  }

  private static String describe(JsonNode body) {
    return switch (body.path("verdict").asText()) {
      case "accepted" -> "accepted as number " + body.path("number").asText();
      case "conflict" ->
          "refused: number "
              + body.path("number").asText()
              + " is taken by "
              + body.path("winner_operator").asText()
              + " for a file with SHA-256 "
              + body.path("winner_sha256").asText();
      case "stale" ->
          "refused: number "
              + body.path("number").asText()
              + " must be higher than the latest, "
              + body.path("latest").asText();
      case "invalid" -> "refused as invalid: " + body.path("faults");
      default -> body.path("error").path("message").asText(body.toString());
    };
  }

  private ExitCode status(OptionSet options) throws UsageException {
    try {
      OperatorClient.Answer answer = client(options).status();
      if (answer.status() != 200) {
        err.println("clementinesail: " + describe(answer.body()));
        return exitCode(answer.status());
      }
      return print(options.has(json) ? answer.body() + "\n" : StatusTable.render(answer.body()));
    } catch (IOException e) {
      return reportUnreachable(e);
    }
  }

  private static ExitCode exitCode(int status) {
    return switch (status) {
      case 200 -> ExitCode.OK;
      case 409, 422 -> ExitCode.REFUSED;
      case 401 -> ExitCode.USAGE;
      default -> ExitCode.UNAVAILABLE;
    };
  }

  private ExitCode reportUnreachable(IOException cause) {
    err.println("clementinesail: no VM answered: " + cause.getMessage());
    return ExitCode.UNAVAILABLE;
  }

  private OperatorClient client(OptionSet options) throws UsageException {
    if (!options.has(vm) || !options.has(tokenFile)) {
      throw new UsageException("this command needs --vm ADDRESS and --token-file FILE");
    }
    String token = read(options.valueOf(tokenFile)).strip();
    return new OperatorClient(options.valuesOf(vm), token, mapper);
  }

  private static String ruleFile(List<String> positionals) throws UsageException {
    if (positionals.size() != 2) {
      throw new UsageException("'" + positionals.get(0) + "' takes one rule file");
    }
    return positionals.get(1);
  }

  private static String read(String file) throws UsageException {
    try {
      return Files.readString(Path.of(file));
    } catch (NoSuchFileException e) {
      throw new UsageException(file + ": the file does not exist");
    } catch (IOException e) {
      throw new UsageException(file + ": the file cannot be read as UTF-8 text");
    }
  }
}
