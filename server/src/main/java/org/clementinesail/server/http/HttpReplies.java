package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.clementinesail.server.requests.CallFailure;
import org.clementinesail.server.requests.Outcome;

/** Answers in the form that all HTTP interfaces share. */
final class HttpReplies {
  static final HttpString OUTCOME = new HttpString("Clementinesail-Outcome");
  static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

  private final ObjectMapper mapper;

  private final WriteGuard guard;

  HttpReplies(ObjectMapper mapper, WriteGuard guard) {
    this.mapper = mapper;
    this.guard = guard;
  }

  WriteGuard guard() {
    return guard;
  }

  ObjectMapper mapper() {
    return mapper;
  }

  /** Reads the body as a JSON object. */
  ObjectNode readObject(HttpServerExchange exchange) throws IOException, BadRequestException {
    byte[] body = exchange.getInputStream().readAllBytes();
    JsonNode json;
    try {
      json = mapper.readTree(body);
    } catch (IOException e) {
      throw new BadRequestException("the body is not JSON");
    }
    if (json instanceof ObjectNode object) {
      return object;
    }
    throw new BadRequestException("the body must be a JSON object");
  }

  void json(HttpServerExchange exchange, int status, JsonNode body) throws IOException {
    bytes(exchange, status, "application/json", mapper.writeValueAsBytes(body));
  }

  void text(HttpServerExchange exchange, int status, String body) throws IOException {
    bytes(exchange, status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
  }

  void bytes(HttpServerExchange exchange, int status, String type, byte[] body) throws IOException {
    exchange.setStatusCode(status);
    if (!type.isEmpty()) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    }
    exchange.setResponseContentLength(body.length);
    guard.write(
        exchange,
        () -> {
          exchange.getOutputStream().write(body);
          exchange.endExchange();
        });
  }

  /** Answers with a typed failure. */
  void failure(HttpServerExchange exchange, String requestId, CallFailure failure)
      throws IOException {
    outcome(exchange, requestId, failure.outcome());
    if (failure.retryAfterSeconds() > 0) {
      exchange
          .getResponseHeaders()
          .put(Headers.RETRY_AFTER, Long.toString(failure.retryAfterSeconds()));
    }
    json(exchange, failure.status(), failureBody(requestId, failure));
  }

  ObjectNode failureBody(String requestId, CallFailure failure) {
    ObjectNode body = mapper.createObjectNode();
    body.putObject("error")
        .put("code", failure.code())
        .put("message", failure.message())
        .put("outcome", failure.outcome().word())
        .put("request_id", requestId);
    return body;
  }

  void outcome(HttpServerExchange exchange, String requestId, Outcome outcome) {
    exchange.getResponseHeaders().put(OUTCOME, outcome.word());
    exchange.getResponseHeaders().put(REQUEST_ID, requestId);
  }
}
