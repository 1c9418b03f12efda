package org.clementinesail.server.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.Node;

/**
 * Reads and validates a settings file. All problems are reported together.
 *
 * <pre>{@code
 * SettingsResult result = SettingsReader.read(Path.of("vm-1.yaml"));
 * }</pre>
 */
public final class SettingsReader {
  private static final int MIN_SECRET_CHARS = 16;
  private static final int MAX_REQUESTS = 10_000;
  private static final int DEFAULT_REQUESTS = 400;
  private static final long DEFAULT_BODY_BYTES = 1_048_576;
  private static final long DEFAULT_HEADER_BYTES = 16_384;
  private static final long DEFAULT_ANSWER_KEPT_BYTES = 65_536;
  private static final long MAX_ANSWER_KEPT_BYTES = 1_048_576;

  private final Path file;
  private final List<SettingsProblem> problems = new ArrayList<>();

  private SettingsReader(Path file) {
    this.file = file;
  }

  /**
   * Reads a settings file. Relative paths in the file are resolved against its folder.
   *
   * @param file the file, in YAML and UTF-8
   */
  public static SettingsResult read(Path file) {
    return new SettingsReader(file).read();
  }

  private SettingsResult read() {
    Optional<Node> root;
    try {
      String text = Files.readString(file);
      root = new Compose(LoadSettings.builder().build()).composeString(text);
    } catch (MarkedYamlEngineException e) {
      int line = e.getProblemMark().map(mark -> mark.getLine() + 1).orElse(0);
      return invalid(new SettingsProblem(line, "not YAML: " + e.getProblem()));
    } catch (YamlEngineException e) {
      return invalid(new SettingsProblem(0, "not YAML: " + e.getMessage()));
    } catch (NoSuchFileException e) {
      return invalid(new SettingsProblem(0, "the file does not exist"));
    } catch (IOException e) {
      return invalid(new SettingsProblem(0, "the file cannot be read"));
    }
    Settings settings = readSettings(new YamlSection("", 1, root.orElse(null), problems));
    if (problems.isEmpty()) {
      return new SettingsResult.Valid(settings);
    }
    problems.sort(Comparator.comparingInt(SettingsProblem::line));
    return new SettingsResult.Invalid(List.copyOf(problems));
  }

  private static SettingsResult invalid(SettingsProblem problem) {
    return new SettingsResult.Invalid(List.of(problem));
  }

  private Settings readSettings(YamlSection root) {
    String vm = root.text("vm");
    Settings settings =
        new Settings(
            vm,
            root.text("data-centre"),
            readListen(root.section("listen")),
            readPeers(root, vm),
            readDataFolder(root),
            readSecret(root, "peer-secret-file"),
            readSecret(root, "operator-token-file"),
            readDeadlines(root.section("deadlines")),
            readLimits(root.section("limits")));
    if (settings.replicaVms().isEmpty()) {
      root.addProblem(
          "peers", "no VM holds a replica; give this VM a data-folder or a peer replica: true");
    }
    root.reportUnknownKeys();
    return settings;
  }

  private static Settings.Listen readListen(YamlSection section) {
    Settings.Listen listen =
        new Settings.Listen(
            section.address("callers"),
            section.address("targets"),
            section.address("operators"),
            section.address("peers"));
    section.reportUnknownKeys();
    return listen;
  }

  private static List<Settings.Peer> readPeers(YamlSection root, String localVm) {
    List<Settings.Peer> peers = new ArrayList<>();
    Set<String> names = new HashSet<>(Set.of(localVm));
    for (YamlSection section : root.sections("peers")) {
      Settings.Peer peer =
          new Settings.Peer(
              section.text("vm"), section.address("address"), section.flag("replica", false));
      if (!names.add(peer.vm())) {
        section.addProblem("vm", "VM '" + peer.vm() + "' is named twice");
      }
      section.reportUnknownKeys();
      peers.add(peer);
    }
    return peers;
  }

  private @Nullable Path readDataFolder(YamlSection root) {
    if (!root.has("data-folder")) {
      return null;
    }
    Path folder = resolve(root.text("data-folder"));
    if (!Files.isDirectory(folder)) {
      root.addProblem("data-folder", "'data-folder' " + folder.getFileName() + " is not a folder");
    } else if (!Files.isWritable(folder)) {
      root.addProblem("data-folder", "'data-folder' " + folder.getFileName() + " is not writable");
    }
    return folder;
  }

  private String readSecret(YamlSection root, String key) {
    String name = root.text(key);
    if (name.isEmpty()) {
      return "";
    }
    try {
      String secret = Files.readString(resolve(name), StandardCharsets.UTF_8).strip();
      if (secret.length() < MIN_SECRET_CHARS) {
        root.addProblem(
            key,
            "the file of '" + key + "' must hold at least " + MIN_SECRET_CHARS + " characters");
      }
      return secret;
    } catch (IOException e) {
      root.addProblem(key, "the file of '" + key + "' cannot be read: " + name);
      return "";
    }
  }

  private Path resolve(String name) {
    Path folder = file.toAbsolutePath().getParent();
    return folder == null ? Path.of(name) : folder.resolve(name);
  }

  private static Settings.Deadlines readDeadlines(YamlSection section) {
    Settings.Deadlines deadlines =
        new Settings.Deadlines(
            section.duration("request", Duration.ofSeconds(120)),
            section.duration("step", Duration.ofSeconds(2)),
            section.duration("connect", Duration.ofSeconds(1)),
            section.duration("service-call", Duration.ofSeconds(30)),
            section.duration("claim", Duration.ofSeconds(3)),
            section.duration("rules-confirm", Duration.ofSeconds(5)),
            section.duration("drain", Duration.ofSeconds(120)),
            section.duration("caller-idle", Duration.ofSeconds(30)));
    section.reportUnknownKeys();
    return deadlines;
  }

  private static Settings.Limits readLimits(YamlSection section) {
    long answerKeptBytes = section.size("answer-kept", DEFAULT_ANSWER_KEPT_BYTES);
    if (answerKeptBytes > MAX_ANSWER_KEPT_BYTES) {
      section.addProblem("answer-kept", "'limits.answer-kept' must be at most 1MiB");
    }
    Settings.Limits limits =
        new Settings.Limits(
            section.size("body", DEFAULT_BODY_BYTES),
            (int) Math.min(Integer.MAX_VALUE, section.size("header", DEFAULT_HEADER_BYTES)),
            section.count("requests", DEFAULT_REQUESTS, 1, MAX_REQUESTS),
            (int) Math.min(MAX_ANSWER_KEPT_BYTES, answerKeptBytes));
    section.reportUnknownKeys();
    return limits;
  }
}
