package org.clementinesail.bench;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.Map;
import org.clementinesail.core.rules.Rule.Priority;
import org.clementinesail.server.http.RequestMetrics;
import org.clementinesail.server.requests.Outcome;
import org.clementinesail.server.storage.StorageException;

/** Slopes of the metrics against the number of workspaces. */
final class MetricSlopes {
  private static final int[] WORKSPACES = {10, 50, 200};
  private static final int SAMPLES = 200;
  private static final long FIRST_SAMPLE_NANOS = 1_000_000;

  private MetricSlopes() {}

  static Slope histogramMemory() throws IOException, StorageException {
    return Slope.measure(
        "histogram-memory",
        "workspaces",
        "bytes of heap for three histograms each",
        workspaces -> Memory.bytesOf(() -> filled(workspaces)),
        WORKSPACES);
  }

  private static RequestMetrics filled(int workspaces) {
    RequestMetrics metrics = new RequestMetrics(new MetricRegistry(), Map::of);
    for (int i = 0; i < workspaces; i++) {
      String workspace = "w" + i;
      for (int sample = 1; sample <= SAMPLES; sample++) {
        long nanos = FIRST_SAMPLE_NANOS * sample;
        metrics.firstToken(workspace, Priority.NORMAL, nanos);
        metrics.betweenTokens(workspace, Priority.NORMAL, nanos);
        metrics.ended(workspace, Priority.NORMAL, Outcome.COMPLETED, nanos);
      }
    }
    return metrics;
  }
}
