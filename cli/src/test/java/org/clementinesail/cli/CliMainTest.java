package org.clementinesail.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests messages and exit codes of the command line tool. */
public final class CliMainTest {
  private Path folder = Path.of(".");

  private record RunResult(ExitCode code, String out, String err) {}

  /** Writes a valid and an invalid rule file. */
  @BeforeClass
  public void writeFiles() throws IOException {
    folder = Files.createTempDirectory("cli");
    Files.writeString(folder.resolve("good"), "number 4 # Gwen\ndrain target=e1 # Gwen\n");
    Files.writeString(folder.resolve("bad"), "number 4 # Gwen\ndrian target=e1 # Gwen\n");
    Files.writeString(folder.resolve("token"), "0123456789abcdef");
    String state = "{'version':3,'routes':[],'services':[],'tenants':[]}".replace('\'', '"');
    Files.writeString(folder.resolve("state"), state);
    Files.writeString(folder.resolve("next"), state.replace("3", "4"));
    Files.writeString(folder.resolve("broken"), state.replace("3", "x"));
  }

  private RunResult run(String line) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    String[] args = line.isEmpty() ? new String[0] : line.replace("@", folder + "/").split(" ");
    ExitCode code =
        CliMain.run(
            args,
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new RunResult(
        code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  /** Command line ({@code @} stands for the test folder), exit code, part of the message. */
  @DataProvider
  public Object[][] invalidCommandLines() {
    return new Object[][] {
      {"", ExitCode.USAGE, "usage: clementinesail COMMAND"},
      {
        "sumbit x",
        ExitCode.USAGE,
        "unknown command 'sumbit', allowed are check, help, status, submit, version;"
            + " did you mean 'submit'?"
      },
      {"check", ExitCode.USAGE, "'check' takes one rule file"},
      {"check a b", ExitCode.USAGE, "'check' takes one rule file"},
      {"check @none", ExitCode.USAGE, "none: the file does not exist"},
      {
        "check @bad",
        ExitCode.REFUSED,
        "bad:2: unknown rule 'drian', allowed are call, drain, limit, number, route, want;"
            + " did you mean 'drain'?"
      },
      {"submit @bad --vm 127.0.0.1:1 --token-file @token", ExitCode.REFUSED, "bad:2: unknown rule"},
      {"submit @good", ExitCode.USAGE, "this command needs --vm ADDRESS and --token-file FILE"},
      {
        "status --vm 127.0.0.1:1 --token-file @none",
        ExitCode.USAGE,
        "none: the file does not exist"
      },
      {"status --vm 127.0.0.1:1 --token-file @token", ExitCode.UNAVAILABLE, "no VM answered: "},
      {"status --wm 127.0.0.1:1", ExitCode.USAGE, "wm is not a recognized option"},
      {"status --vm", ExitCode.USAGE, "Option vm requires an argument"},
    };
  }

  /** A command that fails prints an error to standard error only, and returns its exit code. */
  @Test(dataProvider = "invalidCommandLines")
  public void invalidCommandLineIsReported(String line, ExitCode code, String message) {
    RunResult result = run(line);
    assertEquals(result.code(), code, result.err());
    assertTrue(result.err().contains(message), result.err());
    assertEquals(result.out(), "");
  }

  /** Checking a file reports its number, rules or faults, as text and as JSON. */
  @Test
  public void checkReportsNumberAndRules() throws IOException {
    RunResult plain = run("check @good");
    assertEquals(plain.code(), ExitCode.OK);
    assertTrue(plain.out().endsWith("good: valid, number 4, 1 rules\n"), plain.out());
    RunResult json = run("check @good --json");
    assertEquals(new ObjectMapper().readTree(json.out()).path("number").asLong(), 4);
    RunResult bad = run("check @bad --json");
    assertEquals(
        new ObjectMapper().readTree(bad.out()).path("faults").path(0).path("line").asInt(), 2);
  }

  /** Version and help are printed to standard output. */
  @Test
  public void versionAndHelpArePrinted() {
    assertEquals(run("version"), new RunResult(ExitCode.OK, "clementinesail 0.1.0\n", ""));
    assertTrue(run("help").out().contains("exit codes: 0 done"));
    assertEquals(run("--help").code(), ExitCode.OK);
  }

  /** Command line, exit code and a part of the output. */
  @DataProvider
  public Object[][] configurations() {
    return new Object[][] {
      {"check @state", ExitCode.OK, "no problems"},
      {"check @next --against @state", ExitCode.OK, "version 3 -> 4"},
      {"check @state --against @next --format json", ExitCode.WARNINGS, "\"warning\""},
      {"check @broken", ExitCode.INVALID, "error: "},
    };
  }

  /** A configuration is checked, not taken for a rule file. */
  @Test(dataProvider = "configurations")
  public void configurationIsNotChecked(String line, ExitCode code, String part) {
    RunResult result = run(line);
    assertEquals(result.code(), code, result.out() + result.err());
    assertTrue(result.out().contains(part), result.out() + result.err());
  }
}
