package org.clementinesail.server.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import org.xnio.IoUtils;

/**
 * Breaks the connection of a caller that does not take what is written to it.
 *
 * <p>The HTTP library's own write timeout counts the time between writes, so that it would cut off
 * an answer that waits for an engine.
 */
final class WriteTimeout {
  /** Writes to a caller. */
  @FunctionalInterface
  interface WriteAction {
    void run() throws IOException;
  }

  private final long timeoutNanos;
  private final ScheduledThreadPoolExecutor timer;

  WriteTimeout(Duration timeout) {
    this.timeoutNanos = timeout.toNanos();
    this.timer = new ScheduledThreadPoolExecutor(1, WriteTimeout::newDaemonThread);
    timer.setRemoveOnCancelPolicy(true);
  }

  /** Runs one write; it fails once the caller has taken nothing for the limit. */
  void write(HttpServerExchange exchange, WriteAction action) throws IOException {
    ServerConnection connection = exchange.getConnection();
    ScheduledFuture<?> closeTask =
        timer.schedule(() -> close(connection), timeoutNanos, TimeUnit.NANOSECONDS);
    try {
      action.run();
    } finally {
      closeTask.cancel(false);
    }
  }

  private static void close(ServerConnection connection) {
    Logger.info("a caller takes nothing; its connection is closed");
    IoUtils.safeClose(connection);
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "write-guard");
    thread.setDaemon(true);
    return thread;
  }
}
