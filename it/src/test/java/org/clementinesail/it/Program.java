package org.clementinesail.it;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a packaged program as a process and sends signals to its process ID. */
final class Program {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  private final String name;
  private final List<String> command;
  private final Path folder;
  private Process process;

  private Program(String name, List<String> command, Path folder) throws IOException {
    this.name = name;
    this.command = command;
    this.folder = folder;
    this.process = launch();
  }

  /**
   * Starts the packaged jar of a module; its output is appended to {@code NAME.log} in the folder.
   */
  static Program start(String name, String module, Path folder, String... args) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx256m");
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-jar");
    command.add(ROOT.resolve(module + "/target/clementinesail-" + module + "-all.jar").toString());
    command.addAll(List.of(args));
    return new Program(name, command, folder);
  }

  private Process launch() throws IOException {
    Path log = folder.resolve(name + ".log");
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }

  String name() {
    return name;
  }

  Path log() {
    return folder.resolve(name + ".log");
  }

  boolean isRunning() {
    return process.isAlive();
  }

  void restart() throws IOException {
    process = launch();
  }

  /** Kills the process at once (SIGKILL), as if its machine failed. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Asks the process to stop (SIGTERM), as in a planned stop. */
  void terminate() {
    process.destroy();
  }

  int awaitExit(long seconds) throws InterruptedException {
    if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
      throw new AssertionError(name + " does not exit within " + seconds + " s");
    }
    return process.exitValue();
  }

  /** Suspends the process (SIGSTOP); its connections stay open. */
  void freeze() throws Exception {
    signal("STOP");
  }

  /** Continues a frozen process (SIGCONT). */
  void thaw() throws Exception {
    signal("CONT");
  }

  private void signal(String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }
}
