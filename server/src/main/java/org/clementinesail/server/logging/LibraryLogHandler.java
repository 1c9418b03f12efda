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
 * Writes what libraries warn of as lines of the {@link DecisionLog}.
 *
 * <p>Libraries log through the JDK here: setting tinylog up takes a fifth of the processor time of
 * a start, which a VM with a fraction of a core pays for in seconds.
 */
public final class LibraryLogHandler extends Handler {
  private static final SimpleFormatter FORMATTER = new SimpleFormatter();

  private final DecisionLog log;

  private LibraryLogHandler(DecisionLog log) {
    this.log = log;
  }

  /**
   * Sends the libraries' warnings to a log. To be called before any library is used.
   *
   * @param log takes the lines
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
    // The decision log writes on its own.
  }

  @Override
  public void close() {
    // The decision log outlives its sources.
  }
}
