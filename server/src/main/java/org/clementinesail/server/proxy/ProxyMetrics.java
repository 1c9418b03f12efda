package org.clementinesail.server.proxy;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Recorder;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/** Counters and latency histograms of the proxy, for the metrics endpoint. */
public final class ProxyMetrics {
  /** Longer times are recorded as this. */
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(2);

  private static final int SIGNIFICANT_DIGITS = 2;

  private final MetricRegistry registry = new MetricRegistry();
  private final Map<String, Double> gauges = new ConcurrentSkipListMap<>();

  /**
   * Adds 1 to a counter, which is created at its first use.
   *
   * @param name metric name with labels, as {@code requests_total{route="chat"}}
   */
  public void count(String name) {
    counter(name).inc();
  }

  /**
   * Adds to a metric that goes up and down, which is created at its first use.
   *
   * @param name metric name with labels, as {@code admission_waiting{service="chat",rank="0"}}
   * @param amount amount to add; negative to subtract
   */
  void add(String name, int amount) {
    counter(name).inc(amount);
  }

  private Counter counter(String name) {
    return registry.counter(name);
  }

  /**
   * Sets a value that may rise and fall.
   *
   * @param name metric name with labels
   * @param value current value
   */
  void gauge(String name, double value) {
    gauges.put(name, value);
  }

  /** Records the share of this data centre's demand that another one serves, from 0 to 1. */
  void recordShareSentAway(String service, String from, String to, double share) {
    String labels = "service=\"" + service + "\",from=\"" + from + "\",to=\"" + to + "\"";
    gauge("share_sent_away{" + labels + "}", share);
  }

  /**
   * Records a duration, limited to between 1 microsecond and 2 minutes.
   *
   * @param name metric name with labels, as {@code request_seconds{route="chat"}}
   * @param nanos duration in nanoseconds
   */
  public void recordTime(String name, long nanos) {
    Histogram histogram =
        registry.histogram(
            name,
            () ->
                new Histogram(
                    new HdrHistogramReservoir(new Recorder(1, MAX_MICROS, SIGNIFICANT_DIGITS))));
    histogram.update(Math.max(1, Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos))));
  }

  /** Returns all metrics in the Prometheus text format, with times in seconds. */
  public String text() {
    StringBuilder out = new StringBuilder();
    for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
      out.append(entry.getKey()).append(' ').append(entry.getValue().getCount()).append('\n');
    }
    gauges.forEach((name, value) -> out.append(name).append(' ').append(value).append('\n'));
    for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
      var snapshot = entry.getValue().getSnapshot();
      appendQuantile(out, entry.getKey(), "0.5", snapshot.getMedian());
      appendQuantile(out, entry.getKey(), "0.95", snapshot.get95thPercentile());
      appendQuantile(out, entry.getKey(), "0.99", snapshot.get99thPercentile());
    }
    return out.toString();
  }

  private static void appendQuantile(
      StringBuilder out, String name, String quantile, double micros) {
    int brace = name.indexOf('{');
    String base = brace < 0 ? name : name.substring(0, brace);
    String labels = brace < 0 ? "" : name.substring(brace + 1, name.length() - 1) + ",";
    out.append(base).append('{').append(labels).append("quantile=\"").append(quantile);
    out.append("\"} ").append(micros / TimeUnit.SECONDS.toMicros(1)).append('\n');
  }

  /** Records the time from a request to the first part of its answer. */
  void recordFirstEvent(String route, long nanos) {
    recordTime("first_event_seconds{route=\"" + route + "\"}", nanos);
  }

  /** Counts a request that has ended, and records how long it took. */
  void recordEnd(String route, String outcome, long nanos) {
    String labels = "{route=\"" + route + "\",outcome=\"" + outcome + "\"}";
    count("requests_total" + labels);
    recordTime("request_seconds" + labels, nanos);
  }
}
