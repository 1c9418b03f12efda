package org.clementinesail.server;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.server.settings.SettingsProblem;
import org.clementinesail.server.settings.SettingsReader;
import org.clementinesail.server.settings.SettingsResult;
import org.clementinesail.server.wiring.DaggerServerComponent;
import org.clementinesail.server.wiring.VmServer;

/**
 * Command line of the server.
 *
 * <pre>{@code
 * clementinesail-server --settings vm-1.yaml
 * }</pre>
 *
 * <p>Exit codes: 0 after a graceful stop, 1 if the VM cannot start, 2 for an invalid command line
 * or invalid settings.
 */
public final class ServerMain {
  private static final int START_FAILED = 1;
  private static final int USAGE_ERROR = 2;

  private ServerMain() {}

  /**
   * Runs the server until the JVM is asked to shut down.
   *
   * @param args command line arguments; {@code --help} prints them
   */
  public static void main(String[] args) {
    int status = run(args, System.out, System.err);
    if (status != 0) {
      System.exit(status);
    }
  }

  private static int run(String[] args, PrintStream out, PrintStream err) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> file =
        parser.accepts("settings", "settings file in YAML").withRequiredArg().describedAs("FILE");
    OptionSpec<Void> check = parser.accepts("check-settings", "check the settings file and exit");
    OptionSpec<Void> version = parser.accepts("version", "print the version and exit");
    OptionSpec<Void> help = parser.accepts("help", "print this help and exit").forHelp();
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      err.println("clementinesail-server: " + e.getMessage() + "; see --help");
      return USAGE_ERROR;
    }
    if (options.has(help)) {
      return printHelp(parser, out);
    }
    if (options.has(version)) {
      out.println("clementinesail-server " + VmServer.VERSION);
      return 0;
    }
    if (!options.has(file)) {
      err.println("clementinesail-server: --settings FILE is missing; see --help");
      return USAGE_ERROR;
    }
    return runWithSettings(options.valueOf(file), options.has(check), out, err);
  }

  private static int runWithSettings(
      String settingsFile, boolean checkOnly, PrintStream out, PrintStream err) {
    SettingsResult result = SettingsReader.read(Path.of(settingsFile));
    if (result instanceof SettingsResult.Invalid invalid) {
      for (SettingsProblem problem : invalid.problems()) {
        err.println(problem.describe(settingsFile));
      }
      return USAGE_ERROR;
    }
    if (checkOnly) {
      out.println(settingsFile + ": the settings are usable");
      return 0;
    }
    return serve(((SettingsResult.Valid) result).settings(), err);
  }

  private static int serve(Settings settings, PrintStream err) {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    // The log configuration reads this property, so set it before the first log entry.
    System.setProperty("clementinesail.vm", settings.vm());
    VmServer server = DaggerServerComponent.factory().create(settings).server();
    CountDownLatch stopped = new CountDownLatch(1);
    try {
      server.start();
    } catch (RuntimeException e) {
      err.println("clementinesail-server: cannot start: " + e.getMessage());
      return START_FAILED;
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  server.stop();
                  stopped.countDown();
                },
                "stop"));
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return 0;
  }

  private static int printHelp(OptionParser parser, PrintStream out) {
    try {
      parser.printHelpOn(out);
      return 0;
    } catch (IOException e) {
      return START_FAILED;
    }
  }
}
