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

/** Writes HTTP responses and failure bodies in the format that all listeners share. */
final class HttpResponses {
  static final HttpString OUTCOME_HEADER = new HttpString("Clementinesail-Outcome");
  static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");

  private final ObjectMapper mapper;

  private final WriteTimeout writeTimeout;

  HttpResponses(ObjectMapper mapper, WriteTimeout writeTimeout) {
    this.mapper = mapper;
    this.writeTimeout = writeTimeout;
  }

  WriteTimeout writeTimeout() {
    return writeTimeout;
  }

  ObjectMapper mapper() {
    return mapper;
  }

  /** Reads the request body, which must be a JSON object. */
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

  void sendJson(HttpServerExchange exchange, int status, JsonNode body) throws IOException {
    sendBytes(exchange, status, "application/json", mapper.writeValueAsBytes(body));
  }

  void sendText(HttpServerExchange exchange, int status, String body) throws IOException {
    sendBytes(exchange, status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
  }

  void sendBytes(HttpServerExchange exchange, int status, String contentType, byte[] body)
      throws IOException {
    exchange.setStatusCode(status);
    if (!contentType.isEmpty()) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
    }
    exchange.setResponseContentLength(body.length);
    writeTimeout.write(
        exchange,
        () -> {
          exchange.getOutputStream().write(body);
          exchange.endExchange();
        });
  }

  /** Sends a failure, with its outcome headers and any {@code Retry-After}. */
  void sendFailure(HttpServerExchange exchange, String requestId, CallFailure failure)
      throws IOException {
    setOutcomeHeaders(exchange, requestId, failure.outcome());
    if (failure.retryAfterSeconds() > 0) {
      exchange
          .getResponseHeaders()
          .put(Headers.RETRY_AFTER, Long.toString(failure.retryAfterSeconds()));
    }
    sendJson(exchange, failure.status(), failureBody(requestId, failure));
  }

  ObjectNode failureBody(String requestId, CallFailure failure) {
    ObjectNode body = mapper.createObjectNode();
    body.putObject("error")
        .put("code", failure.code())
        .put("message", failure.message())
        .put("outcome", failure.outcome().wireName())
        .put("request_id", requestId);
    return body;
  }

  void setOutcomeHeaders(HttpServerExchange exchange, String requestId, Outcome outcome) {
    exchange.getResponseHeaders().put(OUTCOME_HEADER, outcome.wireName());
    exchange.getResponseHeaders().put(REQUEST_ID_HEADER, requestId);
  }
}
