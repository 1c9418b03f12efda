package org.clementinesail.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.clementinesail.core.rules.RuleParseResult;
import org.clementinesail.core.rules.RuleParser;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.StateCodec;

/** Slopes against the number of workspaces in the rule file. */
final class RuleSlopes {
  private static final int[] WORKSPACES = {330, 3_300, 33_000};
  private static final double NANOS_PER_MILLI = 1e6;

  private RuleSlopes() {}

  private static RulesText file(long number, int workspaces, String changed) {
    StringBuilder text = new StringBuilder("number " + number + "  # Gwen: slopes\n");
    for (int i = 0; i < workspaces; i++) {
      text.append("route workspace=w").append(i);
      text.append(" model=sail-lm class=normal  # Gwen: ")
          .append(i == workspaces / 2 ? changed : "");
      text.append("term\nlimit workspace=w").append(i);
      text.append(" rate=20/s concurrent=40  # Gwen: term\n");
    }
    return new RulesText(number, text.toString());
  }

  static Slope parse() throws IOException, StorageException {
    return Slope.measure(
        "rules-parse",
        "workspaces",
        "ms to parse the file",
        workspaces -> {
          String text = file(1, workspaces, "").text();
          return Stopwatch.nanosPerCall(3, () -> RuleParser.parse(text)) / NANOS_PER_MILLI;
        },
        WORKSPACES);
  }

  static Slope memory() throws IOException, StorageException {
    return Slope.measure(
        "rules-memory",
        "workspaces",
        "bytes of heap for text and rules",
        workspaces ->
            Memory.bytesOf(
                () -> {
                  RulesText text = file(1, workspaces, "");
                  return new Object[] {text, (RuleParseResult.Valid) RuleParser.parse(text.text())};
                }),
        WORKSPACES);
  }

  static Slope fileBytes() throws IOException, StorageException {
    return Slope.measure(
        "rules-file-bytes",
        "workspaces",
        "bytes of the whole file",
        workspaces -> file(1, workspaces, "").text().getBytes(StandardCharsets.UTF_8).length,
        WORKSPACES);
  }

  static Slope deltaBytes() throws IOException, StorageException {
    return Slope.measure(
        "rules-delta-bytes",
        "workspaces",
        "bytes of a change of two lines",
        workspaces ->
            StateCodec.encode(
                    RulesDelta.between(file(1, workspaces, ""), file(2, workspaces, "summer ")))
                .getSerializedSize(),
        WORKSPACES);
  }
}
