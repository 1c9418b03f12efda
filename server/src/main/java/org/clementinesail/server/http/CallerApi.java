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
import org.clementinesail.server.requests.ServiceResult;
import org.clementinesail.server.requests.ServiceRunner;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/** HTTP handler for callers: model requests, service calls, health and readiness. */
final class CallerApi implements HttpHandler {
  private static final HttpString WORKSPACE_HEADER = new HttpString("X-Workspace");
  private static final HttpString IDEMPOTENCY_KEY_HEADER = new HttpString("Idempotency-Key");
  private static final HttpString IDEMPOTENCY_REPLAYED_HEADER =
      new HttpString("Idempotency-Replayed");
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9_.-]{0,63}";
  private static final int MAX_KEY_CHARS = 255;
  private static final String SERVICES_PREFIX = "/services/";
  private static final Set<HttpString> FORWARDED_HEADERS =
      Set.of(Headers.CONTENT_TYPE, Headers.ACCEPT, Headers.AUTHORIZATION, IDEMPOTENCY_KEY_HEADER);

  private final HttpResponses responses;
  private final RequestAdmission admission;
  private final Supplier<RuleSet> rules;
  private final ModelRequestHandler modelHandler;
  private final ServiceRunner serviceRunner;
  private final RequestMetrics metrics;
  private final Duration requestDeadline;
  private final Duration serviceDeadline;

  /**
   * Creates the handler.
   *
   * @param responses writes HTTP responses
   * @param admission admits or refuses requests
   * @param rules supplies the rules in force
   * @param modelHandler answers model requests
   * @param serviceRunner runs service calls
   * @param metrics records durations and outcomes
   * @param requestDeadline longest duration of a model request, counted from its arrival
   * @param serviceDeadline longest duration of a service call, counted from its arrival
   */
  CallerApi(
      HttpResponses responses,
      RequestAdmission admission,
      Supplier<RuleSet> rules,
      ModelRequestHandler modelHandler,
      ServiceRunner serviceRunner,
      RequestMetrics metrics,
      Duration requestDeadline,
      Duration serviceDeadline) {
    this.responses = responses;
    this.admission = admission;
    this.rules = rules;
    this.modelHandler = modelHandler;
    this.serviceRunner = serviceRunner;
    this.metrics = metrics;
    this.requestDeadline = requestDeadline;
    this.serviceDeadline = serviceDeadline;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    exchange.startBlocking();
    String path = exchange.getRequestPath();
    if (path.equals("/healthz")) {
      responses.sendText(exchange, 200, "alive\n");
    } else if (path.equals("/readyz")) {
      boolean ready = admission.ready();
      responses.sendText(exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    } else {
      handleWorkspaceRequest(exchange, path);
    }
  }

  private void handleWorkspaceRequest(HttpServerExchange exchange, String path) throws Exception {
    String requestId = requestId(exchange);
    ThreadContext.put("request", requestId);
    try {
      String workspace = header(exchange, WORKSPACE_HEADER);
      if (workspace == null || !workspace.matches(NAME_PATTERN)) {
        throw new BadRequestException("the header X-Workspace must name the workspace");
      }
      CallFailure refusal = admission.admit(workspace);
      if (refusal != null) {
        disableKeepAlive(exchange);
        responses.sendFailure(exchange, requestId, refusal);
        return;
      }
      try {
        dispatch(exchange, path, requestId, workspace);
      } finally {
        admission.release(workspace);
      }
    } catch (BadRequestException e) {
      responses.sendFailure(
          exchange, requestId, CallFailure.notRun(400, "bad_request", e.problem()));
    } catch (RequestTooBigException e) {
      responses.sendFailure(
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
      handleModelRequest(exchange, path.contains("chat"), requestId, workspace);
    } else if (path.startsWith(SERVICES_PREFIX)) {
      handleServiceCall(exchange, path.substring(SERVICES_PREFIX.length()), requestId, workspace);
    } else {
      responses.sendFailure(
          exchange,
          requestId,
          CallFailure.notRun(
              404,
              "no_such_path",
              "allowed are /v1/chat/completions, /v1/completions and /services/NAME/..."));
    }
  }

  private void handleModelRequest(
      HttpServerExchange exchange, boolean chat, String requestId, String workspace)
      throws Exception {
    long arrivalNanos = System.nanoTime();
    JsonFields fields = new JsonFields(responses.readObject(exchange));
    CompletionRequest body = CompletionRequest.parse(fields, chat);
    Rule.Route route = requireRoute(workspace, DestinationKind.MODEL, body.model());
    ModelRequest request =
        new ModelRequest(
            requestId,
            workspace,
            body.model(),
            body.prompt(),
            body.maxTokens(),
            route.dataCentre(),
            arrivalNanos + requestDeadline.toNanos());
    modelHandler.handle(exchange, body, request, route.priority(), arrivalNanos);
  }

  private void handleServiceCall(
      HttpServerExchange exchange, String serviceAndPath, String requestId, String workspace)
      throws Exception {
    long arrivalNanos = System.nanoTime();
    int slash = serviceAndPath.indexOf('/');
    String service = slash < 0 ? serviceAndPath : serviceAndPath.substring(0, slash);
    String path = slash < 0 ? "/" : serviceAndPath.substring(slash);
    Rule.Route route = requireRoute(workspace, DestinationKind.SERVICE, service);
    String method = exchange.getRequestMethod().toString();
    String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
    ServiceCall call =
        new ServiceCall(
            requestId,
            workspace,
            service,
            method,
            path + query,
            forwardedHeaders(exchange.getRequestHeaders(), requestId, workspace),
            exchange.getInputStream().readAllBytes(),
            idempotencyKey(exchange),
            route.dataCentre(),
            arrivalNanos + serviceDeadline.toNanos());
    ServiceResult result = serviceRunner.run(call, rules.get().repeatable(service, method, path));
    Outcome outcome = sendServiceResult(exchange, requestId, result);
    metrics.recordRequest(workspace, route.priority(), outcome, System.nanoTime() - arrivalNanos);
    Logger.info("service call to {} ended with outcome {}", service, outcome.wireName());
  }

  private Outcome sendServiceResult(
      HttpServerExchange exchange, String requestId, ServiceResult result) throws IOException {
    if (result instanceof ServiceResult.Answered answer) {
      responses.setOutcomeHeaders(exchange, requestId, Outcome.COMPLETED);
      if (answer.replayed()) {
        exchange.getResponseHeaders().put(IDEMPOTENCY_REPLAYED_HEADER, "true");
      }
      responses.sendBytes(exchange, answer.status(), answer.contentType(), answer.body());
      return Outcome.COMPLETED;
    }
    CallFailure failure = ((ServiceResult.Failed) result).failure();
    responses.sendFailure(exchange, requestId, failure);
    return failure.outcome();
  }

  private Rule.Route requireRoute(String workspace, DestinationKind kind, String destination)
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

  private static @Nullable String idempotencyKey(HttpServerExchange exchange)
      throws BadRequestException {
    String key = header(exchange, IDEMPOTENCY_KEY_HEADER);
    if (key != null && (key.isBlank() || key.length() > MAX_KEY_CHARS)) {
      throw new BadRequestException(
          "the header Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters");
    }
    return key;
  }

  private static String requestId(HttpServerExchange exchange) {
    String given = header(exchange, HttpResponses.REQUEST_ID_HEADER);
    return given != null && given.matches(NAME_PATTERN) ? given : UUID.randomUUID().toString();
  }

  private static Map<String, String> forwardedHeaders(
      HeaderMap headers, String requestId, String workspace) {
    Map<String, String> forwarded = new HashMap<>();
    for (HeaderValues values : headers) {
      if (FORWARDED_HEADERS.contains(values.getHeaderName())) {
        forwarded.put(values.getHeaderName().toString(), values.getFirst());
      }
    }
    forwarded.put(HttpResponses.REQUEST_ID_HEADER.toString(), requestId);
    forwarded.put(WORKSPACE_HEADER.toString(), workspace);
    return forwarded;
  }

  private static void disableKeepAlive(HttpServerExchange exchange) {
    exchange.setPersistent(false);
  }

  private static @Nullable String header(HttpServerExchange exchange, HttpString name) {
    return exchange.getRequestHeaders().getFirst(name);
  }
}
