package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.clementinesail.core.rules.Rule.Priority;
import org.clementinesail.server.requests.CallFailure;
import org.clementinesail.server.requests.ModelRequest;
import org.clementinesail.server.requests.ModelResult;
import org.clementinesail.server.requests.ModelRunner;
import org.clementinesail.server.requests.Outcome;
import org.clementinesail.server.requests.TokenSink;
import org.tinylog.Logger;

/** Runs model requests and sends their answers, as one JSON body or as server-sent events. */
final class ModelRequestHandler {
  private static final String EVENT_PREFIX = "data: ";
  private static final String EVENT_END = "\n\n";
  private static final String DONE_EVENT = "[DONE]";

  private final HttpResponses responses;
  private final ModelRunner runner;
  private final RequestMetrics metrics;

  ModelRequestHandler(HttpResponses responses, ModelRunner runner, RequestMetrics metrics) {
    this.responses = responses;
    this.runner = runner;
    this.metrics = metrics;
  }

  void handle(
      HttpServerExchange exchange,
      CompletionRequest body,
      ModelRequest request,
      Priority priority,
      long arrivalNanos)
      throws IOException, InterruptedException {
    CompletionJson json = new CompletionJson(responses.mapper(), body, request.id());
    TokenTimer tokenTimer = new TokenTimer(request.workspace(), priority, arrivalNanos);
    Outcome outcome =
        body.stream()
            ? answerStreamed(exchange, request, json, tokenTimer)
            : answerWhole(exchange, request, json, tokenTimer);
    metrics.recordRequest(request.workspace(), priority, outcome, System.nanoTime() - arrivalNanos);
    Logger.info("model request to {} ended with outcome {}", request.model(), outcome.wireName());
  }

  private Outcome answerWhole(
      HttpServerExchange exchange, ModelRequest request, CompletionJson json, TokenTimer tokenTimer)
      throws IOException, InterruptedException {
    StringBuilder text = new StringBuilder();
    ModelResult result =
        runner.run(
            request,
            token -> {
              tokenTimer.recordToken();
              text.append(token);
            });
    if (result instanceof ModelResult.Completed completed) {
      responses.setOutcomeHeaders(exchange, request.id(), Outcome.COMPLETED);
      responses.sendJson(exchange, 200, json.completion(text.toString(), completed));
      return Outcome.COMPLETED;
    }
    CallFailure failure = failureOf(result);
    responses.sendFailure(exchange, request.id(), failure);
    return failure.outcome();
  }

  private Outcome answerStreamed(
      HttpServerExchange exchange, ModelRequest request, CompletionJson json, TokenTimer tokenTimer)
      throws IOException, InterruptedException {
    EventStream eventStream = new EventStream(exchange, request.id());
    TokenSink sink =
        token -> {
          tokenTimer.recordToken();
          eventStream.send(json.chunk(token));
        };
    ModelResult result = runner.run(request, sink);
    if (result instanceof ModelResult.Completed completed) {
      eventStream.send(json.finalChunk(completed));
      eventStream.finish();
      return Outcome.COMPLETED;
    }
    CallFailure failure = failureOf(result);
    if (eventStream.started()) {
      eventStream.abort(responses.failureBody(request.id(), failure));
    } else {
      responses.sendFailure(exchange, request.id(), failure);
    }
    return failure.outcome();
  }

  private static CallFailure failureOf(ModelResult result) {
    return result instanceof ModelResult.Failed failed
        ? failed.failure()
        : CallFailure.unknown(499, "caller_gone", "the caller closed the connection");
  }

  /** Records the time to the first token and between tokens of one answer. */
  private final class TokenTimer {
    private final String workspace;
    private final Priority priority;
    private final long arrivalNanos;
    private long lastTokenNanos;

    TokenTimer(String workspace, Priority priority, long arrivalNanos) {
      this.workspace = workspace;
      this.priority = priority;
      this.arrivalNanos = arrivalNanos;
    }

    void recordToken() {
      long now = System.nanoTime();
      if (lastTokenNanos == 0) {
        metrics.recordTimeToFirstToken(workspace, priority, now - arrivalNanos);
      } else {
        metrics.recordTimeBetweenTokens(workspace, priority, now - lastTokenNanos);
      }
      lastTokenNanos = now;
    }
  }

  /** Sends one answer as server-sent events. The first event also sends the headers. */
  private final class EventStream {
    private final HttpServerExchange exchange;
    private final String requestId;
    private boolean started;

    EventStream(HttpServerExchange exchange, String requestId) {
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
        exchange.getResponseHeaders().put(HttpResponses.REQUEST_ID_HEADER, requestId);
      }
      write(responses.mapper().writeValueAsString(body));
    }

    void finish() throws IOException {
      write(DONE_EVENT);
      exchange.endExchange();
    }

    /**
     * Sends the failure and closes the connection, so that no client takes the answer for complete.
     */
    void abort(ObjectNode body) throws IOException {
      try {
        write(responses.mapper().writeValueAsString(body));
      } finally {
        exchange.getConnection().close();
      }
    }

    private void write(String data) throws IOException {
      byte[] event = (EVENT_PREFIX + data + EVENT_END).getBytes(StandardCharsets.UTF_8);
      OutputStream out = exchange.getOutputStream();
      responses
          .writeTimeout()
          .write(
              exchange,
              () -> {
                out.write(event);
                out.flush();
              });
    }
  }
}
