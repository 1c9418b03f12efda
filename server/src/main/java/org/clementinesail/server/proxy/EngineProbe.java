package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.core.fleet.EngineReport;
import org.jspecify.annotations.Nullable;

/** Requests reports from engines, one at a time for each engine. */
public final class EngineProbe {
  /** Timeout of a report, which waits for no request slot: only a dead engine takes longer. */
  private static final long REPORT_TIMEOUT_MS = 400;

  /**
   * A timeout that fires later than this starts again: a process without enough CPU time, as after
   * a start, also reads responses late, so the delay says nothing about the engine.
   */
  private static final long MAX_TIMER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Maximum idle time of a connection that is reused for a report. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Parts of a report beyond this length are dropped. */
  private static final int MAX_REPORT_BYTES = 262_144;

  private final EventLoop loop;
  private final TargetPool pool;
  private final EngineDialect dialect;
  private final Map<String, PendingReport> pending = new HashMap<>();

  /** Result of a request for a report. */
  public sealed interface Result {}

  /**
   * The engine sent a valid report.
   *
   * @param detail the report
   */
  public record Reported(EngineDialect.DetailedReport detail) implements Result {}

  /**
   * The engine sent no valid report: the connection failed, the timeout expired, or the response
   * was an error or malformed.
   *
   * @param report a report that marks the engine as unreachable
   * @param reason description for the log
   */
  public record Failed(EngineReport report, String reason) implements Result {}

  /**
   * Creates a probe without pending requests.
   *
   * @param loop event loop that all methods are called on
   * @param pool pool of connections to engines
   * @param dialect format of reports
   */
  public EngineProbe(EventLoop loop, TargetPool pool, EngineDialect dialect) {
    this.loop = loop;
    this.pool = pool;
    this.dialect = dialect;
  }

  /**
   * Requests a report from an engine; does nothing while an earlier request to it is pending.
   *
   * @param id id of the target
   * @param address IP address and port of the engine
   * @param onResult receives the result on the event loop
   */
  public void requestReport(String id, String address, Consumer<Result> onResult) {
    if (!pending.containsKey(id)) {
      send(id, address, onResult);
    }
  }

  /**
   * Requests a report from an engine, or waits for the one that has been requested before.
   *
   * @param id id of the target
   * @param address IP address and port of the engine
   * @param onResult receives the result on the event loop
   */
  void awaitReport(String id, String address, Consumer<Result> onResult) {
    PendingReport known = pending.get(id);
    if (known == null) {
      send(id, address, onResult);
    } else {
      known.listeners.add(onResult);
    }
  }

  private void send(String id, String address, Consumer<Result> onResult) {
    PendingReport started = new PendingReport(id, address, onResult);
    pending.put(id, started);
    started.send(MAX_IDLE_NANOS);
    started.startTimeout();
  }

  private final class PendingReport implements ResponseListener {
    private final String id;
    private final String address;
    private final List<Consumer<Result>> listeners = new ArrayList<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private TargetCall call = new UnsentCall();
    private @Nullable ScheduledFuture<?> timeout;
    private long deadline;
    private boolean success;
    private boolean finished;

    PendingReport(String id, String address, Consumer<Result> onResult) {
      this.id = id;
      this.address = address;
      this.listeners.add(onResult);
    }

    void send(long maxIdleNanos) {
      call = pool.sendEngineCall(address, dialect.reportRequest(address), maxIdleNanos, this);
    }

    @Override
    public void onHead(HttpResponse head) {
      success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (body.size() + content.readableBytes() <= MAX_REPORT_BYTES) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        body.write(bytes, 0, bytes.length);
      }
    }

    @Override
    public void onComplete() {
      long now = System.nanoTime();
      if (!success) {
        finish(new Failed(EngineReport.unreachable(id, now), "report request got an error status"));
        return;
      }
      try {
        finish(new Reported(dialect.parseReport(id, body.toByteArray(), now)));
      } catch (MalformedMessageException e) {
        finish(
            new Failed(EngineReport.unreachable(id, now), "malformed report: " + e.getMessage()));
      }
    }

    @Override
    public void onFailure(FailureKind kind, String reason) {
      if (kind == FailureKind.STALE_CONNECTION) {
        // The end of a kept connection says nothing about the engine.
        send(0);
        return;
      }
      finish(new Failed(EngineReport.unreachable(id, System.nanoTime()), reason));
    }

    void startTimeout() {
      deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REPORT_TIMEOUT_MS);
      timeout = loop.schedule(this::onTimeout, REPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void onTimeout() {
      if (System.nanoTime() - deadline > MAX_TIMER_DELAY_NANOS) {
        startTimeout();
        return;
      }
      call.cancel();
      finish(
          new Failed(
              EngineReport.unreachable(id, System.nanoTime()), "no report within the timeout"));
    }

    private void finish(Result result) {
      if (finished) {
        return;
      }
      finished = true;
      pending.remove(id);
      if (timeout != null) {
        timeout.cancel(false);
      }
      listeners.forEach(listener -> listener.accept(result));
    }
  }

  /** Placeholder until the request is sent. */
  private static final class UnsentCall implements TargetCall {
    @Override
    public void cancel() {}

    @Override
    public void setReading(boolean reading) {}
  }
}
