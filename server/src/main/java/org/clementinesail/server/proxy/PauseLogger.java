package org.clementinesail.server.proxy;

import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.paths.Hop;
import org.jspecify.annotations.Nullable;

/** Logs the first pause of a response that exceeds its route's limit, with the path. */
final class PauseLogger {
  private final ProxyContext context;
  private final String requestId;
  private long lastAt;
  private boolean logged;

  PauseLogger(ProxyContext context, String requestId) {
    this.context = context;
    this.requestId = requestId;
  }

  /** Records a part of the response to the latest attempt; a limit of 0 allows any pause. */
  void recordPart(@Nullable String eventId, long maxPauseMillis, int attempts, List<Hop> path) {
    long now = System.nanoTime();
    long pauseMillis = lastAt == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(now - lastAt);
    lastAt = now;
    if (logged || maxPauseMillis == 0 || pauseMillis <= maxPauseMillis) {
      return;
    }
    logged = true;
    if (attempts == 1) {
      context.routing().recordLatePause(path, now);
    }
    context
        .log()
        .write(
            "late pause",
            "request",
            requestId,
            "stream_event",
            eventId,
            "pause_ms",
            pauseMillis,
            "sent",
            attempts,
            "path",
            describe(path));
  }

  private String describe(List<Hop> path) {
    StringJoiner text = new StringJoiner(" ");
    for (Hop hop : path) {
      String accelerator =
          context
              .routing()
              .fleet()
              .member(hop.id())
              .map(m -> m.statement().accelerator())
              .orElse("?");
      text.add(hop.dataCentre() + "/" + accelerator + "/" + hop.layers());
    }
    return text.toString();
  }
}
