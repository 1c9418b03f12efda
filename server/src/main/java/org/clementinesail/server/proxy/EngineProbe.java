package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.core.fleet.EngineReport;
import org.jspecify.annotations.Nullable;

/** Asks engines for reports, a bounded number at a time for each engine. */
public final class EngineProbe {
  /** How long a report is waited for; it needs no slot, so only a dead engine takes longer. */
  private static final long REPORT_TIMEOUT_MS = 400;

  /**
   * How late a timeout may be noticed and still speak of the engine. A process that is starved of
   * processor time, as after a start, reads answers late by as much.
   */
  private static final long MAX_TIMER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Longest idle time of a connection that a report is asked for on. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int MAX_REPORT_BYTES = 262_144;

  private final EventLoop loop;
  private final TargetPool pool;
  private final EngineDialect dialect;
  private final Map<String, PendingReport> pending = new HashMap<>();

  /** What came of asking. */
  public sealed interface Result {}

  /**
   * The engine answered.
   *
   * @param detail its report
   */
  public record Reported(EngineDialect.DetailedReport detail) implements Result {}

  /**
   * The engine did not answer in a way that can be read.
   *
   * @param report a report that says so
   * @param reason for the log
   */
  public record Failed(EngineReport report, String reason) implements Result {}

  /**
   * Creates a probe.
   *
   * @param loop the event loop
   * @param pool connections to engines
   * @param dialect formats of reports
   */
  public EngineProbe(EventLoop loop, TargetPool pool, EngineDialect dialect) {
    this.loop = loop;
    this.pool = pool;
    this.dialect = dialect;
  }

  /**
   * Asks an engine for a report unless it is being asked already.
   *
   * @param id identity of the target
   * @param address its IP number and port
   * @param onResult receives the answer on the event loop
   */
  public void requestReport(String id, String address, Consumer<Result> onResult) {
    if (pending.containsKey(id)) {
      return;
    }
    PendingReport started = new PendingReport(id, onResult);
    pending.put(id, started);
    started.call = pool.send(address, "", dialect.reportRequest(address), MAX_IDLE_NANOS, started);
    started.startTimeout();
  }

  private final class PendingReport implements ResponseListener {
    private final String id;
    private final Consumer<Result> onResult;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private TargetCall call = new UnsentCall();
    private @Nullable ScheduledFuture<?> timeout;
    private long deadline;
    private boolean success;
    private boolean finished;

    PendingReport(String id, Consumer<Result> onResult) {
      this.id = id;
      this.onResult = onResult;
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
        finish(new Failed(EngineReport.unreachable(id, now), "answered with a failure"));
        return;
      }
      try {
        finish(new Reported(dialect.parseReport(id, body.toByteArray(), now)));
      } catch (MalformedMessageException e) {
        finish(
            new Failed(EngineReport.unreachable(id, now), "unreadable report: " + e.getMessage()));
      }
    }

    @Override
    public void onFailure(FailureKind why, String reason) {
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
      finish(new Failed(EngineReport.unreachable(id, System.nanoTime()), "no answer in time"));
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
      onResult.accept(result);
    }
  }

  /** Stands for a call that is not sent yet. */
  private static final class UnsentCall implements TargetCall {
    @Override
    public void cancel() {}

    @Override
    public void setReading(boolean reading) {}
  }
}
