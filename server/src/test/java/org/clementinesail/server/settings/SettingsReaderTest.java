package org.clementinesail.server.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reading of settings files, and the exact messages for invalid ones. */
public final class SettingsReaderTest {
  private static final String VALID_SETTINGS =
      """
      vm: vm-1
      data-centre: cardiff-a
      listen:
        callers: 127.0.0.1:8100
        targets: 127.0.0.1:8200
        operators: 127.0.0.1:8300
        peers: 127.0.0.1:8400
      data-folder: data
      peer-secret-file: secret
      operator-token-file: secret
      """;

  private Path folder = Path.of(".");

  /** Creates a folder with a data folder, a valid secret and one that is too short. */
  @BeforeClass
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("settings");
    Files.writeString(folder.resolve("secret"), "0123456789abcdef\n");
    Files.writeString(folder.resolve("short"), "0123\n");
    Files.createDirectory(folder.resolve("data"));
  }

  private SettingsResult read(String text) throws IOException {
    Path file = folder.resolve("vm.yaml");
    Files.writeString(file, text);
    return SettingsReader.read(file);
  }

  /** Text of an invalid settings file, line of the problem, message. */
  @DataProvider
  public Object[][] problems() {
    String duration =
        "; it must be a whole number above 0 with a unit, ms, s or min, such as 500ms";
    String size = "; it must be a whole number above 0 with a unit, B, KiB or MiB, such as 1MiB";
    String address = "; it must be an IP number and a port, such as 10.0.0.1:8100";
    return new Object[][] {
      {VALID_SETTINGS.replace("vm: vm-1\n", ""), 1, "'vm' is missing; it must be a text"},
      {
        VALID_SETTINGS.replace("data-centre: cardiff-a\n", ""),
        1,
        "'data-centre' is missing; it must be a text"
      },
      {
        VALID_SETTINGS.replace("  peers: 127.0.0.1:8400\n", ""),
        3,
        "'listen.peers' is missing; it must be an address such as 10.0.0.1:8100"
      },
      {
        VALID_SETTINGS.replace("127.0.0.1:8100", "localhost:8100"),
        4,
        "'listen.callers' is 'localhost:8100'" + address
      },
      {
        VALID_SETTINGS.replace("127.0.0.1:8100", "127.0.0.1:99999"),
        4,
        "'listen.callers' is '127.0.0.1:99999'" + address
      },
      {
        VALID_SETTINGS.replace("127.0.0.1:8100", "127.0.0.300:1"),
        4,
        "'listen.callers' is '127.0.0.300:1'" + address
      },
      {VALID_SETTINGS + "deadlines:\n  step: 2\n", 12, "'deadlines.step' is '2'" + duration},
      {VALID_SETTINGS + "deadlines:\n  step: 2h\n", 12, "'deadlines.step' is '2h'" + duration},
      {VALID_SETTINGS + "deadlines:\n  step: 0s\n", 12, "'deadlines.step' is '0s'" + duration},
      {VALID_SETTINGS + "limits:\n  body: 1MB\n", 12, "'limits.body' is '1MB'" + size},
      {
        VALID_SETTINGS + "limits:\n  requests: 0\n",
        12,
        "'limits.requests' is '0'; allowed are whole numbers from 1 to 10000"
      },
      {
        VALID_SETTINGS + "limits:\n  answer-kept: 2MiB\n",
        12,
        "'limits.answer-kept' must be at most 1MiB"
      },
      {
        VALID_SETTINGS + "limit:\n  body: 1MiB\n",
        11,
        "unknown key 'limit', allowed are data-centre, data-folder, deadlines, limits, listen,"
            + " operator-token-file, peer-secret-file, peers, vm; did you mean 'limits'?"
      },
      {
        VALID_SETTINGS + "deadlines:\n  stop: 2s\n",
        12,
        "unknown key 'deadlines.stop', allowed are caller-idle, claim, connect, drain, request,"
            + " rules-confirm, service-call, step; did you mean 'step'?"
      },
      {VALID_SETTINGS + "vm: vm-2\n", 11, "key 'vm' is given twice"},
      {VALID_SETTINGS + "peers: vm-2\n", 11, "'peers' must be a list"},
      {
        VALID_SETTINGS + "peers:\n  - vm: vm-1\n    address: 127.0.0.1:1\n",
        12,
        "VM 'vm-1' is named twice"
      },
      {
        VALID_SETTINGS + "peers:\n  - vm: vm-2\n    address: 127.0.0.1:1\n    replica: yes\n",
        14,
        "'peers[].replica' is 'yes'; allowed are true and false"
      },
      {
        VALID_SETTINGS.replace("data-folder: data", "data-folder: nowhere"),
        8,
        "'data-folder' nowhere is not a folder"
      },
      {
        VALID_SETTINGS.replace("data-folder: data", "data-folder: secret"),
        8,
        "'data-folder' secret is not a folder"
      },
      {
        VALID_SETTINGS.replace("data-folder: data\n", ""),
        1,
        "no VM holds a replica; give this VM a data-folder or a peer replica: true"
      },
      {
        VALID_SETTINGS.replace("peer-secret-file: secret", "peer-secret-file: none"),
        9,
        "the file of 'peer-secret-file' cannot be read: none"
      },
      {
        VALID_SETTINGS.replace("operator-token-file: secret", "operator-token-file: short"),
        10,
        "the file of 'operator-token-file' must hold at least 16 characters"
      },
      {
        VALID_SETTINGS.replace("listen:\n", "listen: here\nother:\n"),
        3,
        "'listen' must be a mapping of keys"
      },
      {"vm: [", 1, "not YAML: "},
    };
  }

  /** The problem has the line of the key, and names the key, the value and what is allowed. */
  @Test(dataProvider = "problems")
  public void reportsExactMessage(String text, int line, String message) throws IOException {
    List<SettingsProblem> problems = ((SettingsResult.Invalid) read(text)).problems();
    assertTrue(
        problems.stream()
            .anyMatch(
                p ->
                    p.line() == line
                        && (p.problem().equals(message)
                            || (message.endsWith(": ") && p.problem().startsWith(message)))),
        problems.toString());
  }

  /** All problems are reported together, in the order of lines. */
  @Test
  public void reportsAllProblemsInLineOrder() throws IOException {
    String text = VALID_SETTINGS.replace("8100", "x").replace("8400", "y") + "wrong: 1\n";
    List<SettingsProblem> problems = ((SettingsResult.Invalid) read(text)).problems();
    assertEquals(problems.stream().map(SettingsProblem::line).toList(), List.of(4, 7, 11));
  }

  /** A file that does not exist is reported with line 0, for the whole file. */
  @Test
  public void reportsMissingFile() {
    SettingsResult result = SettingsReader.read(folder.resolve("none.yaml"));
    assertEquals(
        result,
        new SettingsResult.Invalid(List.of(new SettingsProblem(0, "the file does not exist"))));
  }

  /** The example file is valid without changes, and its deadlines and limits are the defaults. */
  @Test
  public void exampleFileIsValidAndShowsDefaults() throws IOException {
    String example = Files.readString(Path.of("../examples/vm.yaml"));
    Files.createDirectories(folder.resolve("replica-data"));
    Files.writeString(folder.resolve("peer.secret"), "0123456789abcdef");
    Files.writeString(folder.resolve("operator.token"), "0123456789abcdef");
    Settings settings = ((SettingsResult.Valid) read(example)).settings();
    Settings withDefaults = ((SettingsResult.Valid) read(VALID_SETTINGS)).settings();
    assertEquals(settings.deadlines(), withDefaults.deadlines());
    assertEquals(settings.limits(), withDefaults.limits());
    assertEquals(settings.deadlines().step(), Duration.ofSeconds(2));
    assertEquals(settings.replicaVms(), List.of("vm-1", "vm-2", "vm-3"));
  }
}
