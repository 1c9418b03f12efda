package org.clementinesail.server.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import org.clementinesail.core.rules.Rule;
import org.clementinesail.core.rules.Rule.DestinationKind;
import org.clementinesail.core.rules.RuleSet;
import org.clementinesail.server.requests.CallFailure;
import org.clementinesail.server.requests.ModelRequest;
import org.clementinesail.server.requests.Outcome;
import org.clementinesail.server.requests.ServiceCall;
import org.clementinesail.server.requests.ServiceEnding;
import org.clementinesail.server.requests.ServiceRunner;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/** The interface for callers: model requests, service calls, health and readiness. */
final class CallerApi implements HttpHandler {
  private static final HttpString WORKSPACE = new HttpString("X-Workspace");
  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
  private static final HttpString REPEATED = new HttpString("Idempotency-Replayed");
  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9_.-]{0,63}";
  private static final int MAX_KEY_CHARS = 255;
  private static final String SERVICES = "/services/";
  private static final Set<HttpString> PASSED_HEADERS =
      Set.of(Headers.CONTENT_TYPE, Headers.ACCEPT, Headers.AUTHORIZATION, IDEMPOTENCY_KEY);

  private final HttpReplies replies;
  private final Intake intake;
  private final Supplier<RuleSet> rules;
  private final ModelAnswers models;
  private final ServiceRunner services;
  private final RequestMetrics metrics;
  private final Duration requestDeadline;
  private final Duration serviceDeadline;

  /**
   * Creates the interface.
   *
   * @param replies writes answers
   * @param intake admits requests
   * @param rules the rules in force
   * @param models answers model requests
   * @param services runs service calls
   * @param metrics notes how requests end
   * @param requestDeadline how long a model request may take
   * @param serviceDeadline how long a service call may take
   */
  CallerApi(
      HttpReplies replies,
      Intake intake,
      Supplier<RuleSet> rules,
      ModelAnswers models,
      ServiceRunner services,
      RequestMetrics metrics,
      Duration requestDeadline,
      Duration serviceDeadline) {
    this.replies = replies;
    this.intake = intake;
    this.rules = rules;
    this.models = models;
    this.services = services;
    this.metrics = metrics;
    this.requestDeadline = requestDeadline;
    this.serviceDeadline = serviceDeadline;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    exchange.startBlocking();
    String path = exchange.getRequestPath();
    if (path.equals("/healthz")) {
      replies.text(exchange, 200, "alive\n");
    } else if (path.equals("/readyz")) {
      boolean ready = intake.ready();
      replies.text(exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    } else {
      handleWork(exchange, path);
    }
  }

  private void handleWork(HttpServerExchange exchange, String path) throws Exception {
    String requestId = requestId(exchange);
    ThreadContext.put("request", requestId);
    try {
      String workspace = header(exchange, WORKSPACE);
      if (workspace == null || !workspace.matches(NAME)) {
        throw new BadRequestException("the header X-Workspace must name the workspace");
      }
      CallFailure refusal = intake.take(workspace);
      if (refusal != null) {
        drop(exchange);
        replies.failure(exchange, requestId, refusal);
        return;
      }
      try {
        dispatch(exchange, path, requestId, workspace);
      } finally {
        intake.release(workspace);
      }
    } catch (BadRequestException e) {
      replies.failure(exchange, requestId, CallFailure.notRun(400, "bad_request", e.problem()));
    } catch (RequestTooBigException e) {
      replies.failure(
          exchange,
          requestId,
          CallFailure.notRun(413, "body_too_large", "the body is larger than this VM takes"));
    } finally {
      ThreadContext.clear();
    }
  }

  private void dispatch(
      HttpServerExchange exchange, String path, String requestId, String workspace)
      throws Exception {
    if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
      requireMethod(exchange, "POST");
      model(exchange, path.contains("chat"), requestId, workspace);
    } else if (path.startsWith(SERVICES)) {
      service(exchange, path.substring(SERVICES.length()), requestId, workspace);
    } else {
      replies.failure(
          exchange,
          requestId,
          CallFailure.notRun(
              404,
              "no_such_path",
              "allowed are /v1/chat/completions, /v1/completions and /services/NAME/..."));
    }
  }

  private void model(HttpServerExchange exchange, boolean chat, String requestId, String workspace)
      throws Exception {
    long arrivedAt = System.nanoTime();
    JsonFields fields = new JsonFields(replies.readObject(exchange));
    CompletionRequest body = CompletionRequest.read(fields, chat);
    Rule.Route route = route(workspace, DestinationKind.MODEL, body.model());
    ModelRequest request =
        new ModelRequest(
            requestId,
            workspace,
            body.model(),
            body.prompt(),
            body.maxTokens(),
            route.dataCentre(),
            arrivedAt + requestDeadline.toNanos());
    models.answer(exchange, body, request, route.priority(), arrivedAt);
  }

  private void service(HttpServerExchange exchange, String rest, String requestId, String workspace)
      throws Exception {
    long arrivedAt = System.nanoTime();
    int slash = rest.indexOf('/');
    String service = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    Rule.Route route = route(workspace, DestinationKind.SERVICE, service);
    String method = exchange.getRequestMethod().toString();
    String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
    ServiceCall call =
        new ServiceCall(
            requestId,
            workspace,
            service,
            method,
            path + query,
            passedHeaders(exchange.getRequestHeaders(), requestId, workspace),
            exchange.getInputStream().readAllBytes(),
            key(exchange),
            route.dataCentre(),
            arrivedAt + serviceDeadline.toNanos());
    ServiceEnding ending = services.run(call, rules.get().repeatable(service, method, path));
    Outcome outcome = write(exchange, requestId, ending);
    metrics.ended(workspace, route.priority(), outcome, System.nanoTime() - arrivedAt);
    Logger.info("service call to {} ended as {}", service, outcome.word());
  }

  private Outcome write(HttpServerExchange exchange, String requestId, ServiceEnding ending)
      throws IOException {
    if (ending instanceof ServiceEnding.Answered answer) {
      replies.outcome(exchange, requestId, Outcome.COMPLETED);
      if (answer.repeated()) {
        exchange.getResponseHeaders().put(REPEATED, "true");
      }
      replies.bytes(exchange, answer.status(), answer.contentType(), answer.body());
      return Outcome.COMPLETED;
    }
    CallFailure failure = ((ServiceEnding.Failed) ending).failure();
    replies.failure(exchange, requestId, failure);
    return failure.outcome();
  }

  private Rule.Route route(String workspace, DestinationKind kind, String destination)
      throws BadRequestException {
    Optional<Rule.Route> route = rules.get().route(workspace, kind, destination);
    return route.orElseThrow(
        () ->
            new BadRequestException(
                "no rule lets workspace '" + workspace + "' use '" + destination + "'"));
  }

  private static void requireMethod(HttpServerExchange exchange, String method)
      throws BadRequestException {
    if (!exchange.getRequestMethod().toString().equals(method)) {
      throw new BadRequestException("the method must be " + method);
    }
  }

  private static @Nullable String key(HttpServerExchange exchange) throws BadRequestException {
    String key = header(exchange, IDEMPOTENCY_KEY);
    if (key != null && (key.isBlank() || key.length() > MAX_KEY_CHARS)) {
      throw new BadRequestException(
          "the header Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters");
    }
    return key;
  }

  private static String requestId(HttpServerExchange exchange) {
    String given = header(exchange, HttpReplies.REQUEST_ID);
    return given != null && given.matches(NAME) ? given : UUID.randomUUID().toString();
  }

  private static Map<String, String> passedHeaders(
      HeaderMap headers, String requestId, String workspace) {
    Map<String, String> passed = new HashMap<>();
    for (HeaderValues values : headers) {
      if (PASSED_HEADERS.contains(values.getHeaderName())) {
        passed.put(values.getHeaderName().toString(), values.getFirst());
      }
    }
    passed.put(HttpReplies.REQUEST_ID.toString(), requestId);
    passed.put(WORKSPACE.toString(), workspace);
    return passed;
  }

  private static void drop(HttpServerExchange exchange) {
    exchange.setPersistent(false);
  }

  private static @Nullable String header(HttpServerExchange exchange, HttpString name) {
    return exchange.getRequestHeaders().getFirst(name);
  }
}
