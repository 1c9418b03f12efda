package org.clementinesail.bench;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.Map;
import org.clementinesail.core.rules.Rule.Priority;
import org.clementinesail.server.http.RequestMetrics;
import org.clementinesail.server.requests.Outcome;
import org.clementinesail.server.storage.StorageException;

/** Measures the memory of the metrics against the number of workspaces. */
final class MetricScaling {
  private static final int[] WORKSPACE_COUNTS = {10, 50, 200};
  private static final int SAMPLES_PER_WORKSPACE = 200;
  private static final long SAMPLE_STEP_NANOS = 1_000_000;

  private MetricScaling() {}

  static ScalingCurve histogramHeapBytes() throws IOException, StorageException {
    return ScalingCurve.measure(
        "histogram-memory",
        "workspaces",
        "heap bytes of three histograms per workspace",
        workspaces -> HeapUsage.retainedBytes(() -> filledMetrics(workspaces)),
        WORKSPACE_COUNTS);
  }

  private static RequestMetrics filledMetrics(int workspaces) {
    RequestMetrics metrics = new RequestMetrics(new MetricRegistry(), Map::of);
    for (int i = 0; i < workspaces; i++) {
      String workspace = "w" + i;
      for (int sample = 1; sample <= SAMPLES_PER_WORKSPACE; sample++) {
        long nanos = SAMPLE_STEP_NANOS * sample;
        metrics.recordTimeToFirstToken(workspace, Priority.NORMAL, nanos);
        metrics.recordTimeBetweenTokens(workspace, Priority.NORMAL, nanos);
        metrics.recordRequest(workspace, Priority.NORMAL, Outcome.COMPLETED, nanos);
      }
    }
    return metrics;
  }
}
