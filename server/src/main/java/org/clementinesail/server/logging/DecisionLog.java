package org.clementinesail.server.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinesail.core.limits.TokenBucket;
import org.jspecify.annotations.Nullable;

/**
 * Writes one JSON line for each event, such as a refused request or a changed target state, at a
 * bounded rate.
 *
 * <p>Each event name has a limit of lines per second. Lines above it are skipped, and the next line
 * of the event has their number in {@code left_out}. A separate thread writes the lines; if its
 * queue is full, new lines are dropped, so that no caller waits for the output.
 *
 * <pre>{@code
 * log.write("refused", "request", id, "reason", "no path", "age_ms", 120);
 * }</pre>
 */
public final class DecisionLog {
  /** Limit for each event: enough to explain single failures, and a small load at full traffic. */
  private static final double MAX_LINES_PER_SECOND = 20;

  /** Enough for some seconds of lines with several events at the limit above. */
  private static final int MAX_QUEUED_LINES = 1_024;

  private final String vm;
  private final PrintStream out;
  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final Map<String, EventBudget> budgets = new HashMap<>();
  private final AtomicLong dropped = new AtomicLong();

  private static final class EventBudget {
    final TokenBucket bucket = new TokenBucket(MAX_LINES_PER_SECOND, System.nanoTime());
    long skipped;
  }

  /**
   * Creates a log and starts its daemon thread.
   *
   * @param vm name of this VM, written in each line
   * @param out receives the lines, encoded in UTF-8
   */
  public DecisionLog(String vm, PrintStream out) {
    this.vm = vm;
    this.out = out;
    Thread thread = new Thread(this::writeQueuedLines, "decision-log");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a line, or skips it if the event has reached its limit of lines per second.
   *
   * @param event name of the event, not escaped
   * @param fields names and values in alternation; numbers and booleans are written as such, other
   *     values as strings with each control character replaced by a space
   */
  public void write(String event, @Nullable Object... fields) {
    long skipped;
    synchronized (budgets) {
      EventBudget budget = budgets.computeIfAbsent(event, key -> new EventBudget());
      if (!budget.bucket.tryAcquire(System.nanoTime())) {
        budget.skipped++;
        return;
      }
      skipped = budget.skipped;
      budget.skipped = 0;
    }
    StringBuilder line = new StringBuilder(160);
    line.append("{\"time\":\"").append(Instant.now()).append("\",\"vm\":\"").append(vm);
    line.append("\",\"event\":\"").append(event).append('"');
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(",\"").append(fields[i]).append("\":");
      appendValue(line, fields[i + 1]);
    }
    if (skipped > 0) {
      line.append(",\"left_out\":").append(skipped);
    }
    if (!queue.offer(line.append('}').toString())) {
      dropped.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped because the queue was full. */
  public long dropped() {
    return dropped.get();
  }

  private static void appendValue(StringBuilder line, @Nullable Object value) {
    if (value instanceof Number || value instanceof Boolean) {
      line.append(value);
      return;
    }
    line.append('"');
    String text = String.valueOf(value);
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else if (c < ' ') {
        line.append(' ');
      } else {
        line.append(c);
      }
    }
    line.append('"');
  }

  private void writeQueuedLines() {
    try {
      while (true) {
        StringBuilder batch = new StringBuilder(queue.take()).append('\n');
        for (String line = queue.poll(); line != null; line = queue.poll()) {
          batch.append(line).append('\n');
        }
        byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
