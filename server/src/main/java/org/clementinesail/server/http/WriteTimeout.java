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
 * Closes the connection of a caller that does not read its response in time.
 *
 * <p>The write timeout of the HTTP library is not used: it counts the time between writes, so it
 * would also end an answer that waits for an engine.
 */
final class WriteTimeout {
  /** One write to a caller, which may block. */
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

  /**
   * Runs one write, and closes the connection if the write takes longer than the timeout.
   *
   * @throws IOException if the write fails, also because the connection was closed
   */
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
    Logger.info("caller did not read its response in time; closing its connection");
    IoUtils.safeClose(connection);
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "write-timeout");
    thread.setDaemon(true);
    return thread;
  }
}
