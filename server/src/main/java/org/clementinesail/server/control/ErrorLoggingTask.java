package org.clementinesail.server.control;

import org.tinylog.Logger;

/**
 * A periodic task that goes on after a failure; a timer drops a task that throws.
 *
 * @param name what the task does, for the log
 * @param task the task
 */
public record ErrorLoggingTask(String name, Runnable task) implements Runnable {
  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "a round of {} failed", name);
    }
  }
}
