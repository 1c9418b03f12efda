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
  private static final long MOST_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Longest idle time of a connection that a report is asked for on. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int MAX_REPORT_BYTES = 262_144;

  private final EventLoop loop;
  private final TargetPool pool;
  private final EngineDialect dialect;
  private final Map<String, Asking> asking = new HashMap<>();

  /** What came of asking. */
  public sealed interface Answer {}

  /**
   * The engine answered.
   *
   * @param detail its report
   */
  public record Reported(EngineDialect.Detail detail) implements Answer {}

  /**
   * The engine did not answer in a way that can be read.
   *
   * @param report a report that says so
   * @param reason for the log
   */
  public record Silent(EngineReport report, String reason) implements Answer {}

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
   * @param then receives the answer on the event loop
   */
  public void ask(String id, String address, Consumer<Answer> then) {
    if (asking.containsKey(id)) {
      return;
    }
    Asking one = new Asking(id, then);
    asking.put(id, one);
    one.call = pool.send(address, "", dialect.reportRequest(address), MAX_IDLE_NANOS, one);
    one.awaitAnswer();
  }

  private final class Asking implements AnswerListener {
    private final String id;
    private final Consumer<Answer> then;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private TargetCall call = new NoCall();
    private @Nullable ScheduledFuture<?> timeout;
    private long answerBy;
    private boolean good;
    private boolean done;

    Asking(String id, Consumer<Answer> then) {
      this.id = id;
      this.then = then;
    }

    @Override
    public void head(HttpResponse head) {
      good = head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    @Override
    public void content(ByteBuf content) {
      if (body.size() + content.readableBytes() <= MAX_REPORT_BYTES) {
        byte[] bytes = new byte[content.readableBytes()];
        content.readBytes(bytes);
        body.write(bytes, 0, bytes.length);
      }
    }

    @Override
    public void end() {
      long now = System.nanoTime();
      if (!good) {
        finish(new Silent(EngineReport.unreachable(id, now), "answered with a failure"));
        return;
      }
      try {
        finish(new Reported(dialect.report(id, body.toByteArray(), now)));
      } catch (MalformedMessageException e) {
        finish(
            new Silent(EngineReport.unreachable(id, now), "unreadable report: " + e.getMessage()));
      }
    }

    @Override
    public void broken(Breakage why, String reason) {
      finish(new Silent(EngineReport.unreachable(id, System.nanoTime()), reason));
    }

    void awaitAnswer() {
      answerBy = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REPORT_TIMEOUT_MS);
      timeout = loop.schedule(this::timedOut, REPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void timedOut() {
      if (System.nanoTime() - answerBy > MOST_LATE_NANOS) {
        awaitAnswer();
        return;
      }
      call.cancel();
      finish(new Silent(EngineReport.unreachable(id, System.nanoTime()), "no answer in time"));
    }

    private void finish(Answer answer) {
      if (done) {
        return;
      }
      done = true;
      asking.remove(id);
      if (timeout != null) {
        timeout.cancel(false);
      }
      then.accept(answer);
    }
  }

  /** Stands for a call that is not sent yet. */
  private static final class NoCall implements TargetCall {
    @Override
    public void cancel() {}

    @Override
    public void reading(boolean reading) {}
  }
}
