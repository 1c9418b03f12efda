package org.clementinesail.server.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes log entries to standard output as JSON, one line each.
 *
 * <p>The JSON writer of tinylog writes to files only, while process managers read standard output.
 */
public final class JsonLinesWriter implements Writer {
  private final ObjectMapper mapper = new ObjectMapper();
  private final PrintStream out = System.out;
  private final String vm;
  private final String version;

  /**
   * Creates a writer.
   *
   * @param properties may hold {@code vm} and {@code version}, which are written in each line; both
   *     default to the empty string
   */
  public JsonLinesWriter(Map<String, String> properties) {
    this.vm = properties.getOrDefault("vm", "");
    this.version = properties.getOrDefault("version", "");
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.CLASS,
        LogEntryValue.CONTEXT,
        LogEntryValue.MESSAGE,
        LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) throws JsonProcessingException {
    ObjectNode line =
        mapper
            .createObjectNode()
            .put("time", entry.getTimestamp().toInstant().toString())
            .put("level", entry.getLevel().name())
            .put("vm", vm)
            .put("version", version);
    if (entry.getContext() != null) {
      entry.getContext().forEach(line::put);
    }
    line.put("class", entry.getClassName()).put("message", entry.getMessage());
    if (entry.getException() != null) {
      StringWriter trace = new StringWriter();
      entry.getException().printStackTrace(new PrintWriter(trace));
      line.put("exception", trace.toString());
    }
    out.println(mapper.writeValueAsString(line));
  }

  @Override
  public void flush() {
    out.flush();
  }

  @Override
  public void close() {
    out.flush();
  }
}
