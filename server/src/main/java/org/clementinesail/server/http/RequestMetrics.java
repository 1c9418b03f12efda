package org.clementinesail.server.http;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.clementinesail.core.rules.Rule.Priority;
import org.clementinesail.server.requests.Outcome;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/**
 * Durations and outcomes of requests by workspace and class, in the Prometheus text format.
 *
 * <p>Each call of {@link #prometheusText} resets the histograms, so the quantiles cover only the
 * requests since the previous call.
 */
public final class RequestMetrics {
  /** Bounds the number of time series; further workspaces share one label. */
  private static final int MAX_WORKSPACE_LABELS = 256;

  private static final String OTHER_WORKSPACES_LABEL = "other";
  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry;
  private final Set<String> knownWorkspaceLabels = ConcurrentHashMap.newKeySet();
  private final Supplier<Map<String, Double>> maxTokensPerSecond;
  private final LongAdder tokenCount = new LongAdder();

  /**
   * Creates metrics without requests.
   *
   * @param registry stores the metrics
   * @param maxTokensPerSecond supplies, by model name, the highest rate in tokens per second that
   *     its engines can generate
   */
  public RequestMetrics(MetricRegistry registry, Supplier<Map<String, Double>> maxTokensPerSecond) {
    this.registry = registry;
    this.maxTokensPerSecond = maxTokensPerSecond;
  }

  /** Returns the registry, to which other classes add gauges. */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Records the first token of a request, and the time from its arrival to this token.
   *
   * @param workspace workspace of the request
   * @param priority priority class of the request
   * @param nanos time from arrival to first token in nanoseconds
   */
  public void recordTimeToFirstToken(String workspace, Priority priority, long nanos) {
    tokenCount.increment();
    timer("first_token", workspace, priority).update(nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Records a later token of a request, and the time since the token before.
   *
   * @param workspace workspace of the request
   * @param priority priority class of the request
   * @param nanos time between the two tokens in nanoseconds
   */
  public void recordTimeBetweenTokens(String workspace, Priority priority, long nanos) {
    tokenCount.increment();
    timer("between_tokens", workspace, priority).update(nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Records the end of a request.
   *
   * @param workspace workspace of the request
   * @param priority priority class of the request
   * @param outcome outcome that the caller is told
   * @param nanos time from the arrival of the request to its end in nanoseconds
   */
  public void recordRequest(String workspace, Priority priority, Outcome outcome, long nanos) {
    timer("request", workspace, priority).update(nanos, TimeUnit.NANOSECONDS);
    registry.counter("requests." + workspaceLabel(workspace) + "." + outcome.wireName()).inc();
  }

  /** Returns all metrics in the Prometheus text format, and resets the duration histograms. */
  public String prometheusText() {
    StringBuilder out = new StringBuilder();
    registry
        .getCounters()
        .forEach(
            (name, counter) -> {
              String[] parts = name.split("\\.", -1);
              out.append("clementinesail_requests_total{workspace=\"")
                  .append(parts[1])
                  .append("\",outcome=\"")
                  .append(parts[2])
                  .append("\"} ")
                  .append(counter.getCount())
                  .append('\n');
            });
    appendMetric(out, "tokens_total", "", tokenCount.sum());
    maxTokensPerSecond
        .get()
        .forEach(
            (model, bound) ->
                appendMetric(
                    out, "bound_tokens_per_second", "model=\"" + sanitize(model) + "\"", bound));
    registry.getGauges().forEach((name, gauge) -> appendMetric(out, name, "", gauge.getValue()));
    for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
      appendSummary(out, entry.getKey(), entry.getValue());
    }
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      appendMetric(out, entry.getKey(), "", entry.getValue().getCount());
    }
    return out.toString();
  }

  private static void appendSummary(StringBuilder out, String name, Timer timer) {
    String[] parts = name.split("\\.", -1);
    String labels = "workspace=\"" + parts[1] + "\",class=\"" + parts[2] + "\"";
    Snapshot snapshot = timer.getSnapshot();
    String metric = parts[0] + "_seconds";
    appendMetric(
        out, metric, labels + ",quantile=\"0.5\"", snapshot.getMedian() / NANOS_PER_SECOND);
    appendMetric(
        out,
        metric,
        labels + ",quantile=\"0.95\"",
        snapshot.get95thPercentile() / NANOS_PER_SECOND);
    appendMetric(
        out,
        metric,
        labels + ",quantile=\"0.99\"",
        snapshot.get99thPercentile() / NANOS_PER_SECOND);
    appendMetric(out, metric + "_count", labels, timer.getCount());
  }

  private static void appendMetric(StringBuilder out, String name, String labels, Object value) {
    out.append("clementinesail_").append(name);
    if (!labels.isEmpty()) {
      out.append('{').append(labels).append('}');
    }
    out.append(' ').append(value).append('\n');
  }

  private Timer timer(String name, String workspace, Priority priority) {
    String key =
        name + "." + workspaceLabel(workspace) + "." + priority.name().toLowerCase(Locale.ROOT);
    return registry.timer(key, () -> new Timer(new HdrHistogramResetOnSnapshotReservoir()));
  }

  private String workspaceLabel(String workspace) {
    String label = sanitize(workspace);
    if (knownWorkspaceLabels.contains(label)) {
      return label;
    }
    return knownWorkspaceLabels.size() < MAX_WORKSPACE_LABELS && knownWorkspaceLabels.add(label)
        ? label
        : OTHER_WORKSPACES_LABEL;
  }

  private static String sanitize(String name) {
    return name.replace('.', '_').replace('"', '_').replace('\\', '_');
  }
}
