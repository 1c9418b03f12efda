package org.clementinesail.server.control;

import org.tinylog.Logger;

/**
 * Periodic task that logs exceptions and does not rethrow them, because a {@link
 * java.util.concurrent.ScheduledExecutorService}, such as an event loop, cancels a task that
 * throws.
 *
 * @param name what the task does, for the log
 * @param task the task to run
 */
public record ErrorLoggingTask(String name, Runnable task) implements Runnable {
  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "periodic task failed: {}", name);
    }
  }
}
