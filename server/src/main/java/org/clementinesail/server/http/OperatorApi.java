package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.clementinesail.core.rules.RuleFault;
import org.clementinesail.core.rules.RuleParseResult;
import org.clementinesail.core.rules.RuleParser;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.server.control.ControlException;
import org.clementinesail.server.control.RulesSubmitter;
import org.clementinesail.server.control.StatusCollector;

/** HTTP handler for operators: rule files, status and metrics. */
final class OperatorApi implements HttpHandler {
  private static final HttpString OPERATOR_HEADER = new HttpString("X-Operator");
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;

  private final HttpResponses responses;
  private final byte[] expectedAuthorization;
  private final RulesSubmitter submitter;
  private final StatusCollector statusCollector;
  private final RequestMetrics metrics;

  /**
   * Creates the handler.
   *
   * @param responses writes HTTP responses
   * @param token bearer token that operators must send
   * @param submitter submits rule files to the replicas
   * @param statusCollector collects the status of all VMs
   * @param metrics supplies the metrics of this VM
   */
  OperatorApi(
      HttpResponses responses,
      String token,
      RulesSubmitter submitter,
      StatusCollector statusCollector,
      RequestMetrics metrics) {
    this.responses = responses;
    this.expectedAuthorization = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    this.submitter = submitter;
    this.statusCollector = statusCollector;
    this.metrics = metrics;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    exchange.startBlocking();
    if (!isAuthorized(exchange)) {
      sendError(exchange, 401, "unauthorized", "the operator token is missing or wrong");
      return;
    }
    String methodAndPath = exchange.getRequestMethod() + " " + exchange.getRequestPath();
    switch (methodAndPath) {
      case "POST /v1/rules" -> submitRules(exchange);
      case "GET /v1/rules" -> responses.sendText(exchange, 200, submitter.rulesInForce().text());
      case "GET /v1/status" ->
          responses.sendJson(exchange, 200, statusCollector.collect(responses.mapper()));
      case "GET /metrics" -> responses.sendText(exchange, 200, metrics.prometheusText());
      default ->
          sendError(
              exchange,
              404,
              "no_such_path",
              "allowed are POST and GET /v1/rules, GET /v1/status and GET /metrics");
    }
  }

  private boolean isAuthorized(HttpServerExchange exchange) {
    String authorization = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    return authorization != null
        && MessageDigest.isEqual(
            expectedAuthorization, authorization.getBytes(StandardCharsets.UTF_8));
  }

  private void submitRules(HttpServerExchange exchange) throws IOException, InterruptedException {
    String text = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    RuleParseResult parsed = RuleParser.parse(text);
    if (parsed instanceof RuleParseResult.Invalid invalid) {
      responses.sendJson(exchange, UNPROCESSABLE, faultsBody(invalid));
      return;
    }
    String operator = exchange.getRequestHeaders().getFirst(OPERATOR_HEADER);
    long number = ((RuleParseResult.Valid) parsed).rules().number();
    try {
      CommandResult result =
          submitter.submit(number, text, operator == null ? "unnamed" : operator);
      sendResult(exchange, result);
    } catch (ControlException e) {
      sendError(
          exchange,
          UNAVAILABLE,
          "not_confirmed",
          e.getMessage() + "; the file may have been accepted, submit it again");
    }
  }

  private void sendResult(HttpServerExchange exchange, CommandResult result) throws IOException {
    ObjectNode body = responses.mapper().createObjectNode();
    if (result instanceof CommandResult.RulesAccepted accepted) {
      body.put("verdict", "accepted")
          .put("number", accepted.number())
          .put("sha256", accepted.sha256());
      responses.sendJson(exchange, 200, body);
    } else if (result instanceof CommandResult.RulesConflict conflict) {
      body.put("verdict", "conflict")
          .put("number", conflict.number())
          .put("winner_sha256", conflict.acceptedSha256())
          .put("winner_operator", conflict.acceptedOperator());
      responses.sendJson(exchange, CONFLICT, body);
    } else if (result instanceof CommandResult.RulesStale stale) {
      body.put("verdict", "stale")
          .put("number", stale.number())
          .put("latest", stale.latestNumber());
      responses.sendJson(exchange, CONFLICT, body);
    } else {
      sendError(
          exchange,
          UNAVAILABLE,
          "not_confirmed",
          "the latest rule file changed during each attempt; submit the file again");
    }
  }

  private ObjectNode faultsBody(RuleParseResult.Invalid invalid) {
    ObjectNode body = responses.mapper().createObjectNode().put("verdict", "invalid");
    ArrayNode faults = body.putArray("faults");
    for (RuleFault fault : invalid.faults()) {
      faults.addObject().put("line", fault.line()).put("problem", fault.problem());
    }
    return body;
  }

  private void sendError(HttpServerExchange exchange, int status, String code, String message)
      throws IOException {
    ObjectNode body = responses.mapper().createObjectNode();
    body.putObject("error").put("code", code).put("message", message);
    responses.sendJson(exchange, status, body);
  }
}
