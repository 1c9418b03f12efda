package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.clementinesail.core.rules.Rule.Priority;
import org.clementinesail.server.requests.CallFailure;
import org.clementinesail.server.requests.ModelEnding;
import org.clementinesail.server.requests.ModelRequest;
import org.clementinesail.server.requests.ModelRunner;
import org.clementinesail.server.requests.Outcome;
import org.clementinesail.server.requests.TokenSink;
import org.tinylog.Logger;

/** Answers model requests, whole or as server-sent events. */
final class ModelAnswers {
  private static final String EVENT_PREFIX = "data: ";
  private static final String EVENT_END = "\n\n";
  private static final String LAST_EVENT = "[DONE]";

  private final HttpReplies replies;
  private final ModelRunner runner;
  private final RequestMetrics metrics;

  ModelAnswers(HttpReplies replies, ModelRunner runner, RequestMetrics metrics) {
    this.replies = replies;
    this.runner = runner;
    this.metrics = metrics;
  }

  void answer(
      HttpServerExchange exchange,
      CompletionRequest body,
      ModelRequest request,
      Priority priority,
      long arrivedAt)
      throws IOException, InterruptedException {
    CompletionShapes shapes = new CompletionShapes(replies.mapper(), body, request.id());
    TokenTimes times = new TokenTimes(request.workspace(), priority, arrivedAt);
    Outcome outcome =
        body.stream()
            ? stream(exchange, request, shapes, times)
            : whole(exchange, request, shapes, times);
    metrics.ended(request.workspace(), priority, outcome, System.nanoTime() - arrivedAt);
    Logger.info("model request to {} ended as {}", request.model(), outcome.word());
  }

  private Outcome whole(
      HttpServerExchange exchange, ModelRequest request, CompletionShapes shapes, TokenTimes times)
      throws IOException, InterruptedException {
    StringBuilder text = new StringBuilder();
    ModelEnding ending =
        runner.run(
            request,
            token -> {
              times.token();
              text.append(token);
            });
    if (ending instanceof ModelEnding.Completed completed) {
      replies.outcome(exchange, request.id(), Outcome.COMPLETED);
      replies.json(exchange, 200, shapes.whole(text.toString(), completed));
      return Outcome.COMPLETED;
    }
    CallFailure failure = failure(ending);
    replies.failure(exchange, request.id(), failure);
    return failure.outcome();
  }

  private Outcome stream(
      HttpServerExchange exchange, ModelRequest request, CompletionShapes shapes, TokenTimes times)
      throws IOException, InterruptedException {
    Events events = new Events(exchange, request.id());
    TokenSink sink =
        token -> {
          times.token();
          events.send(shapes.chunk(token));
        };
    ModelEnding ending = runner.run(request, sink);
    if (ending instanceof ModelEnding.Completed completed) {
      events.send(shapes.lastChunk(completed));
      events.finish();
      return Outcome.COMPLETED;
    }
    CallFailure failure = failure(ending);
    if (events.started()) {
      events.abort(replies.failureBody(request.id(), failure));
    } else {
      replies.failure(exchange, request.id(), failure);
    }
    return failure.outcome();
  }

  private static CallFailure failure(ModelEnding ending) {
    return ending instanceof ModelEnding.Failed failed
        ? failed.failure()
        : CallFailure.unknown(499, "caller_gone", "the caller hung up");
  }

  /** Notes the times of one answer's tokens. */
  private final class TokenTimes {
    private final String workspace;
    private final Priority priority;
    private final long arrivedAt;
    private long lastAt;

    TokenTimes(String workspace, Priority priority, long arrivedAt) {
      this.workspace = workspace;
      this.priority = priority;
      this.arrivedAt = arrivedAt;
    }

    void token() {
      long now = System.nanoTime();
      if (lastAt == 0) {
        metrics.firstToken(workspace, priority, now - arrivedAt);
      } else {
        metrics.betweenTokens(workspace, priority, now - lastAt);
      }
      lastAt = now;
    }
  }

  /** The server-sent events of one answer. */
  private final class Events {
    private final HttpServerExchange exchange;
    private final String requestId;
    private boolean started;

    Events(HttpServerExchange exchange, String requestId) {
      this.exchange = exchange;
      this.requestId = requestId;
    }

    boolean started() {
      return started;
    }

    void send(ObjectNode body) throws IOException {
      if (!started) {
        started = true;
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
        exchange.getResponseHeaders().put(HttpReplies.REQUEST_ID, requestId);
      }
      write(replies.mapper().writeValueAsString(body));
    }

    void finish() throws IOException {
      write(LAST_EVENT);
      exchange.endExchange();
    }

    /**
     * Tells the failure and breaks the connection, so that no client takes the answer for whole.
     */
    void abort(ObjectNode body) throws IOException {
      try {
        write(replies.mapper().writeValueAsString(body));
      } finally {
        exchange.getConnection().close();
      }
    }

    private void write(String data) throws IOException {
      byte[] event = (EVENT_PREFIX + data + EVENT_END).getBytes(StandardCharsets.UTF_8);
      OutputStream out = exchange.getOutputStream();
      replies
          .guard()
          .write(
              exchange,
              () -> {
                out.write(event);
                out.flush();
              });
    }
  }
}
