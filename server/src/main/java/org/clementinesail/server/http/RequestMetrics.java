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

/** Histograms of requests per workspace and class, in the text format of metrics scrapers. */
public final class RequestMetrics {
  private static final int MAX_WORKSPACES = 256;
  private static final String OTHERS = "other";
  private static final double NANOS_PER_SECOND = 1e9;

  private final MetricRegistry registry;
  private final Set<String> workspaces = ConcurrentHashMap.newKeySet();
  private final Supplier<Map<String, Double>> tokenBounds;
  private final LongAdder tokens = new LongAdder();

  /**
   * Creates metrics.
   *
   * @param registry holds them
   * @param tokenBounds largest flow of tokens a second for each model
   */
  public RequestMetrics(MetricRegistry registry, Supplier<Map<String, Double>> tokenBounds) {
    this.registry = registry;
    this.tokenBounds = tokenBounds;
  }

  /** Returns the registry that holds the metrics. */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Notes the time from a request's arrival to its first token.
   *
   * @param workspace workspace of the request
   * @param priority class of the request
   * @param nanos the time in nanoseconds
   */
  public void firstToken(String workspace, Priority priority, long nanos) {
    tokens.increment();
    timer("first_token", workspace, priority).update(nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Notes the time between two tokens.
   *
   * @param workspace workspace of the request
   * @param priority class of the request
   * @param nanos the time in nanoseconds
   */
  public void betweenTokens(String workspace, Priority priority, long nanos) {
    tokens.increment();
    timer("between_tokens", workspace, priority).update(nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Notes the end of a request.
   *
   * @param workspace workspace of the request
   * @param priority class of the request
   * @param outcome how it ended
   * @param nanos time from its arrival in nanoseconds
   */
  public void ended(String workspace, Priority priority, Outcome outcome, long nanos) {
    timer("request", workspace, priority).update(nanos, TimeUnit.NANOSECONDS);
    registry.counter("requests." + bounded(workspace) + "." + outcome.word()).inc();
  }

  /** Returns all metrics as text. */
  public String text() {
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
    line(out, "tokens_total", "", tokens.sum());
    tokenBounds
        .get()
        .forEach(
            (model, bound) ->
                line(out, "bound_tokens_per_second", "model=\"" + plain(model) + "\"", bound));
    registry.getGauges().forEach((name, gauge) -> line(out, name, "", gauge.getValue()));
    for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
      summary(out, entry.getKey(), entry.getValue());
    }
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      line(out, entry.getKey(), "", entry.getValue().getCount());
    }
    return out.toString();
  }

  private static void summary(StringBuilder out, String name, Timer timer) {
    String[] parts = name.split("\\.", -1);
    String labels = "workspace=\"" + parts[1] + "\",class=\"" + parts[2] + "\"";
    Snapshot snapshot = timer.getSnapshot();
    String metric = parts[0] + "_seconds";
    line(out, metric, labels + ",quantile=\"0.5\"", snapshot.getMedian() / NANOS_PER_SECOND);
    line(
        out,
        metric,
        labels + ",quantile=\"0.95\"",
        snapshot.get95thPercentile() / NANOS_PER_SECOND);
    line(
        out,
        metric,
        labels + ",quantile=\"0.99\"",
        snapshot.get99thPercentile() / NANOS_PER_SECOND);
    line(out, metric + "_count", labels, timer.getCount());
  }

  private static void line(StringBuilder out, String name, String labels, Object value) {
    out.append("clementinesail_").append(name);
    if (!labels.isEmpty()) {
      out.append('{').append(labels).append('}');
    }
    out.append(' ').append(value).append('\n');
  }

  private Timer timer(String name, String workspace, Priority priority) {
    String key = name + "." + bounded(workspace) + "." + priority.name().toLowerCase(Locale.ROOT);
    return registry.timer(key, () -> new Timer(new HdrHistogramResetOnSnapshotReservoir()));
  }

  private String bounded(String workspace) {
    String plain = plain(workspace);
    if (workspaces.contains(plain)) {
      return plain;
    }
    return workspaces.size() < MAX_WORKSPACES && workspaces.add(plain) ? plain : OTHERS;
  }

  private static String plain(String name) {
    return name.replace('.', '_').replace('"', '_').replace('\\', '_');
  }
}
