package org.clementinesail.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.clementinesail.core.rules.RuleParseResult;
import org.clementinesail.core.rules.RuleParser;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.StateCodec;

/** Measures time, heap and bytes of rule files against their number of workspaces. */
final class RuleScaling {
  private static final int[] WORKSPACE_COUNTS = {330, 3_300, 33_000};
  private static final double NANOS_PER_MILLI = 1e6;

  private RuleScaling() {}

  private static RulesText rulesText(long number, int workspaces, String changed) {
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

  static ScalingCurve parseTime() throws IOException, StorageException {
    return ScalingCurve.measure(
        "rules-parse",
        "workspaces",
        "ms to parse the file",
        workspaces -> {
          String text = rulesText(1, workspaces, "").text();
          return Stopwatch.nanosPerCall(3, () -> RuleParser.parse(text)) / NANOS_PER_MILLI;
        },
        WORKSPACE_COUNTS);
  }

  static ScalingCurve heapBytes() throws IOException, StorageException {
    return ScalingCurve.measure(
        "rules-memory",
        "workspaces",
        "heap bytes of text and rules",
        workspaces ->
            HeapUsage.retainedBytes(
                () -> {
                  RulesText text = rulesText(1, workspaces, "");
                  return new Object[] {text, (RuleParseResult.Valid) RuleParser.parse(text.text())};
                }),
        WORKSPACE_COUNTS);
  }

  static ScalingCurve fileBytes() throws IOException, StorageException {
    return ScalingCurve.measure(
        "rules-file-bytes",
        "workspaces",
        "bytes of the file",
        workspaces -> rulesText(1, workspaces, "").text().getBytes(StandardCharsets.UTF_8).length,
        WORKSPACE_COUNTS);
  }

  static ScalingCurve deltaBytes() throws IOException, StorageException {
    return ScalingCurve.measure(
        "rules-delta-bytes",
        "workspaces",
        "bytes of a change of two lines",
        workspaces ->
            StateCodec.encode(
                    RulesDelta.between(
                        rulesText(1, workspaces, ""), rulesText(2, workspaces, "summer ")))
                .getSerializedSize(),
        WORKSPACE_COUNTS);
  }
}
