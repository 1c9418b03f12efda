package org.clementinesail.server.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementinesail.server.logging.DecisionLog;

/**
 * Counts and logs what clients lose to a limit, with at most one line a second for each kind.
 * Confined to the event loop.
 */
public final class LimitReports {
  private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ProxyMetrics metrics;
  private final DecisionLog log;
  private final Map<String, Kind> kinds = new HashMap<>();

  private static final class Kind {
    private long nextLineAt;
    private int sinceLine;
  }

  /**
   * Creates an instance.
   *
   * @param metrics receives {@code client_limit_total{kind="..."}}
   * @param log receives the lines
   */
  public LimitReports(ProxyMetrics metrics, DecisionLog log) {
    this.metrics = metrics;
    this.log = log;
  }

  /**
   * Records one refused or closed client.
   *
   * @param kind the limit, as {@code memory}
   * @param held what is held of the resource now, in bytes or connections
   * @param limit the limit in the same unit
   */
  public void record(String kind, long held, long limit) {
    metrics.count("client_limit_total{kind=\"" + kind + "\"}");
    long now = System.nanoTime();
    Kind state = kinds.computeIfAbsent(kind, key -> firstOf(now));
    state.sinceLine++;
    if (now - state.nextLineAt >= 0) {
      log.write(
          "client limit", "kind", kind, "held", held, "limit", limit, "clients", state.sinceLine);
      state.nextLineAt = now + MIN_INTERVAL_NANOS;
      state.sinceLine = 0;
    }
  }

  private static Kind firstOf(long now) {
    Kind kind = new Kind();
    kind.nextLineAt = now;
    return kind;
  }
}
