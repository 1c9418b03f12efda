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

/**
 * Keeps one request from targets that it, or a part of it, would crash, and tells what became of
 * it.
 *
 * <p>An engine that has begun to answer shows that the request is harmless; a target without layers
 * shows it at the end of its answer only.
 */
final class PartGuard {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final CrashReports crashes;
  private final RequestParts parts;
  private final boolean continuedByCaller;
  private @Nullable Service service;
  private @Nullable String workspace;
  private boolean harmless;

  PartGuard(CrashReports crashes, HttpRequest head, ByteBuf body, RequestMetadata metadata) {
    this.crashes = crashes;
    this.parts = new RequestParts(head, body, metadata.sharedParts());
    this.continuedByCaller = metadata.lastEventId() != null;
  }

  void resolved(Service resolvedService, @Nullable String callerWorkspace) {
    service = resolvedService;
    workspace = callerWorkspace;
    // A stream that is continued has been answered before.
    harmless = continuedByCaller && runsOnEngines();
  }

  /** Returns how many seconds the request is refused, or empty if it may be sent. */
  OptionalDouble refusedSeconds(long now) {
    if (harmless || crashes.isEmpty()) {
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

  /** Called when the first part of an answer is sent to the caller. */
  void onAnswerBegun(HttpResponseStatus status) {
    if (runsOnEngines()) {
      onAnswered(status);
    }
  }

  /** Called when a target has answered; a failure may come from before it ran. */
  void onAnswered(HttpResponseStatus status) {
    if (!harmless && status.codeClass() == HttpStatusClass.SUCCESS) {
      harmless = true;
      crashes.recordAnswer(crashes.isEmpty() ? sharedKeys() : keys());
    }
  }

  /** Continues after a lost attempt, once it is known whether its target crashed. */
  void afterLoss(Attempt attempt, Runnable next) {
    if (harmless || service == null || attempt.peer() != null) {
      next.run();
    } else {
      crashes.checkAfterLoss(loss(attempt), next);
    }
  }

  /** Called when the wait for an answer is over, before the request ends. */
  void afterSilence(Attempt attempt) {
    if (!harmless && service != null && !runsOnEngines() && attempt.peer() == null) {
      crashes.checkAfterSilence(loss(attempt));
    }
  }

  private CrashReports.Loss loss(Attempt attempt) {
    return new CrashReports.Loss(attempt.target(), runsOnEngines(), keys(), attempt.sentAt());
  }

  private boolean runsOnEngines() {
    return service != null && service.engine() != null;
  }

  private List<Long> sharedKeys() {
    return service != null && runsOnEngines() ? parts.sharedKeys(service.name()) : List.of();
  }

  private List<Long> keys() {
    return service != null ? parts.allKeys(service.name(), workspace) : List.of();
  }
}
