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
 * One line for each decision on a request or belief, as JSON, in bounded volume.
 *
 * <p>Each event has a budget of lines a second; a line says how many of its event were left out
 * before it. A thread of its own writes, and a full queue drops lines rather than wait.
 *
 * <pre>{@code
 * log.write("refused", "request", id, "reason", "no path", "age_ms", 120);
 * }</pre>
 */
public final class DecisionLog {
  /** Lines a second for each event; enough to explain single failures, little at full load. */
  private static final double MAX_LINES_PER_SECOND = 20;

  /** Lines that wait to be written; some seconds' worth at the budgets above. */
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
   * Creates a log and starts its thread.
   *
   * @param vm name of this VM
   * @param out where lines go
   */
  public DecisionLog(String vm, PrintStream out) {
    this.vm = vm;
    this.out = out;
    Thread thread = new Thread(this::writeQueuedLines, "decision-log");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Writes a line unless the event's budget is used up.
   *
   * @param event kind of decision
   * @param fields names and values in turn
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

  /** Returns how many lines were dropped because writing was slow. */
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
