package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.server.logging.DecisionLog;
import org.jspecify.annotations.Nullable;

/** Writes the log lines of one request. */
final class ExchangeLog {
  private final DecisionLog log;
  private final String requestId;
  private final long receivedAt;

  ExchangeLog(DecisionLog log, String requestId, long receivedAt) {
    this.log = log;
    this.requestId = requestId;
    this.receivedAt = receivedAt;
  }

  void pathSwitched(String reason, @Nullable String lastEventId) {
    log.write("moved", "request", requestId, "reason", reason, "after_event", lastEventId);
  }

  /** Logs that a request is sent to another VM; a target is logged only if something goes wrong. */
  void sentTo(Destination destination) {
    PeerVm peer = destination.peer();
    if (peer != null) {
      log.write(
          "passed to another VM",
          "request",
          requestId,
          "peer",
          peer.name(),
          "after_ms",
          ageMillis());
    }
  }

  void refusedByTarget(String target, int status, String faultyAddress) {
    log.write(
        "refused by target",
        "request",
        requestId,
        "target",
        target,
        "status",
        status,
        "at_fault",
        faultyAddress);
  }

  void responseLost(String target, String reason) {
    log.write("answer lost", "request", requestId, "target", target, "why", reason);
  }

  void notContinued(String target, String reason, @Nullable String lastEventId) {
    log.write(
        "not continued",
        "request",
        requestId,
        "target",
        target,
        "reason",
        reason,
        "after_event",
        lastEventId);
  }

  /** Logs that a stream which has begun waits, as no attempt is possible now. */
  void waits(String reason) {
    log.write("waits", "request", requestId, "reason", reason, "after_ms", ageMillis());
  }

  void retriedAfterServerError(String target, int status) {
    log.write("repeated after failure", "request", requestId, "target", target, "status", status);
  }

  /** Logs an exception on the way of a request or its response. */
  void stepFailed(RuntimeException error) {
    StackTraceElement[] trace = error.getStackTrace();
    log.write(
        "internal error",
        "request",
        requestId,
        "error",
        error.toString(),
        "at",
        trace.length == 0 ? "" : trace[0].toString(),
        "after_ms",
        ageMillis());
  }

  void callerDisconnected() {
    log.write("caller left", "request", requestId, "after_ms", ageMillis());
  }

  /** Logs that the proxy ended the request with a status of its own. */
  void endedByProxy(
      String event, String route, HttpResponseStatus status, String reason, AttemptCounts counts) {
    log.write(
        event,
        "request",
        requestId,
        "route",
        route,
        "status",
        status.code(),
        "reason",
        reason,
        "sent",
        counts.sentCount(),
        "may_have_run",
        counts.possibleRunCount(),
        "after_ms",
        ageMillis());
  }

  private long ageMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - receivedAt);
  }
}
