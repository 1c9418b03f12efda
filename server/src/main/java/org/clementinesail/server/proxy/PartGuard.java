package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.Service;
import org.jspecify.annotations.Nullable;

/** Keeps one request from engines that a part of it would crash, and tells what became of it. */
final class PartGuard {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final CrashReports crashes;
  private final RequestParts parts;
  private @Nullable Service service;
  private @Nullable String workspace;
  private boolean answered;

  PartGuard(CrashReports crashes, HttpRequest head, ByteBuf body, RequestMetadata metadata) {
    this.crashes = crashes;
    this.parts = new RequestParts(head, body, metadata.sharedParts());
    // A stream that is continued has been answered before.
    this.answered = metadata.lastEventId() != null;
  }

  void resolved(Service resolvedService, @Nullable String callerWorkspace) {
    service = resolvedService;
    workspace = callerWorkspace;
  }

  /** Returns how many seconds the request is refused, or empty if it may be sent. */
  OptionalDouble refusedSeconds(long now) {
    if (answered || crashes.isEmpty()) {
      return OptionalDouble.empty();
    }
    OptionalLong until = crashes.refusedUntil(keys(), now);
    return until.isEmpty()
        ? OptionalDouble.empty()
        : OptionalDouble.of((until.getAsLong() - now) / NANOS_PER_SECOND);
  }

  void onSent() {
    if (!crashes.isEmpty()) {
      crashes.recordSent(keys(), System.nanoTime());
    }
  }

  /** Called when an engine has begun to answer; a failure may come from before it ran. */
  void onAnswered(HttpResponseStatus status) {
    if (!answered && status.codeClass() == HttpStatusClass.SUCCESS) {
      answered = true;
      crashes.recordAnswer(crashes.isEmpty() ? sharedKeys() : keys());
    }
  }

  /** Continues after a lost attempt, once it is known whether its engine crashed. */
  void afterLoss(Attempt attempt, Runnable next) {
    if (answered || !runsOnEngines()) {
      next.run();
    } else {
      crashes.checkAfterLoss(attempt.target(), keys(), attempt.sentAt(), next);
    }
  }

  private boolean runsOnEngines() {
    return service != null && service.engine() != null;
  }

  private List<Long> sharedKeys() {
    return service != null && runsOnEngines() ? parts.sharedKeys(service.name()) : List.of();
  }

  private List<Long> keys() {
    return service != null && runsOnEngines()
        ? parts.allKeys(service.name(), workspace)
        : List.of();
  }
}
