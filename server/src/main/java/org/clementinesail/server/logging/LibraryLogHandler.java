package org.clementinesail.server.logging;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Writes warnings and errors of libraries to the {@link DecisionLog}.
 *
 * <p>Libraries log through the JDK, not tinylog: initializing tinylog takes a fifth of the CPU time
 * of a start, which is seconds on a VM with a fraction of a core.
 */
public final class LibraryLogHandler extends Handler {
  private static final SimpleFormatter FORMATTER = new SimpleFormatter();

  private final DecisionLog log;

  private LibraryLogHandler(DecisionLog log) {
    this.log = log;
  }

  /**
   * Replaces all JDK log handlers by one that writes to the given log, from level WARNING. Call it
   * before any library is used.
   *
   * @param log receives an event {@code library warning} for each entry
   */
  public static void install(DecisionLog log) {
    LogManager.getLogManager().reset();
    Logger root = Logger.getLogger("");
    root.setLevel(Level.WARNING);
    root.addHandler(new LibraryLogHandler(log));
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  @Override
  public void publish(LogRecord entry) {
    log.write(
        "library warning",
        "library",
        entry.getLoggerName(),
        "message",
        FORMATTER.formatMessage(entry),
        "error",
        String.valueOf(entry.getThrown()));
  }

  @Override
  public void flush() {
    // The decision log flushes its lines itself.
  }

  @Override
  public void close() {
    // The decision log stays open for its other users.
  }
}
