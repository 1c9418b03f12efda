package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.responses.ResponseProgress;
import org.jspecify.annotations.Nullable;

/** Writes the response to one request, and keeps what of it the caller was sent. */
final class ResponseSender {
  private final ProxyContext context;
  private final CallerConnection caller;
  private final PartGuard partGuard;
  private final PauseLogger pauseLogger;
  private final AttemptCounts counts;
  private final long receivedAt;
  private final ResponseProgress progress;

  ResponseSender(
      ProxyContext context,
      CallerConnection caller,
      PartGuard partGuard,
      AttemptCounts counts,
      RequestMetadata metadata,
      long receivedAt) {
    this.context = context;
    this.caller = caller;
    this.partGuard = partGuard;
    this.counts = counts;
    this.receivedAt = receivedAt;
    this.pauseLogger = new PauseLogger(context, metadata.id());
    this.progress = new ResponseProgress(metadata.lastEventId());
  }

  ResponseProgress progress() {
    return progress;
  }

  /** Sends a response whose body is known completely; releases the body. */
  void sendWhole(Attempt from, HttpResponse head, ByteBuf body) {
    caller.sendResponse(head.status(), headers(from, head), body);
  }

  private HttpHeaders headers(Attempt from, HttpResponse head) {
    HttpHeaders headers = HeaderCopies.ofResponse(head.headers());
    if (context.relayed()) {
      RelayHeaders.setTarget(headers, from.target());
    }
    return headers;
  }

  /** Sends a whole event; the first one is preceded by the head. */
  void sendEvent(Attempt from, HttpResponse head, ByteBuf event, @Nullable String id) {
    begin(from, head);
    caller.writePart(event);
    progress.recordEvent(id);
    recordPart(from, id);
  }

  /** Sends comments or empty lines of a stream, which may come twice. */
  void sendComment(Attempt from, HttpResponse head, ByteBuf comment) {
    begin(from, head);
    caller.writePart(comment);
  }

  /** Sends a part of a body that is no stream of events; the first one is preceded by the head. */
  void sendBytes(Attempt from, HttpResponse head, ByteBuf content) {
    begin(from, head);
    caller.writePart(content);
    progress.recordBytes();
    recordPart(from, null);
  }

  private void begin(Attempt from, HttpResponse head) {
    if (progress.started()) {
      return;
    }
    caller.begin(head.status(), headers(from, head));
    progress.recordHead(head.headers().get(HttpHeaderNames.CONTENT_TYPE));
    partGuard.onAnswerBegun(head.status());
    Route route = from.route();
    context
        .metrics()
        .recordFirstEvent(route == null ? "" : route.name(), System.nanoTime() - receivedAt);
  }

  private void recordPart(Attempt from, @Nullable String eventId) {
    Route route = from.route();
    if (route != null) {
      pauseLogger.recordPart(eventId, route.maxPauseMillis(), counts.sentCount(), from.path());
    }
  }

  /** Flushes what was sent; stops reading from the target while the caller does not read. */
  void flush(Attempt from) {
    caller.flush();
    if (!caller.isWritable()) {
      from.setReading(false);
    }
  }

  /** Completes a response that was begun. */
  void end() {
    caller.endResponse();
  }

  /** Closes the connection, so that what was sent does not look complete. */
  void abort() {
    caller.abort();
  }
}
