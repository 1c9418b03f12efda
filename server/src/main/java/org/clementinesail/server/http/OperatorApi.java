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

/** The interface for operators: submitting rule files, status and metrics. */
final class OperatorApi implements HttpHandler {
  private static final HttpString OPERATOR = new HttpString("X-Operator");
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;

  private final HttpReplies replies;
  private final byte[] token;
  private final RulesSubmitter submitter;
  private final StatusCollector status;
  private final RequestMetrics metrics;

  /**
   * Creates the interface.
   *
   * @param replies writes answers
   * @param token token that operators must send
   * @param submitter has files accepted
   * @param status tells of the site
   * @param metrics tells of requests
   */
  OperatorApi(
      HttpReplies replies,
      String token,
      RulesSubmitter submitter,
      StatusCollector status,
      RequestMetrics metrics) {
    this.replies = replies;
    this.token = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    this.submitter = submitter;
    this.status = status;
    this.metrics = metrics;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    exchange.startBlocking();
    if (!authorized(exchange)) {
      error(exchange, 401, "unauthorized", "the operator token is missing or wrong");
      return;
    }
    String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
    switch (call) {
      case "POST /v1/rules" -> submit(exchange);
      case "GET /v1/rules" -> replies.text(exchange, 200, submitter.rulesInForce().text());
      case "GET /v1/status" -> replies.json(exchange, 200, status.collect(replies.mapper()));
      case "GET /metrics" -> replies.text(exchange, 200, metrics.text());
      default ->
          error(
              exchange,
              404,
              "no_such_path",
              "allowed are POST and GET /v1/rules, GET /v1/status and GET /metrics");
    }
  }

  private boolean authorized(HttpServerExchange exchange) {
    String given = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    return given != null && MessageDigest.isEqual(token, given.getBytes(StandardCharsets.UTF_8));
  }

  private void submit(HttpServerExchange exchange) throws IOException, InterruptedException {
    String text = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    RuleParseResult parse = RuleParser.parse(text);
    if (parse instanceof RuleParseResult.Invalid invalid) {
      replies.json(exchange, UNPROCESSABLE, faults(invalid));
      return;
    }
    String operator = exchange.getRequestHeaders().getFirst(OPERATOR);
    long number = ((RuleParseResult.Valid) parse).rules().number();
    try {
      CommandResult verdict =
          submitter.submit(number, text, operator == null ? "unnamed" : operator);
      answer(exchange, verdict);
    } catch (ControlException e) {
      error(
          exchange,
          UNAVAILABLE,
          "not_confirmed",
          e.getMessage() + "; the file may have been accepted, submit it again");
    }
  }

  private void answer(HttpServerExchange exchange, CommandResult verdict) throws IOException {
    ObjectNode body = replies.mapper().createObjectNode();
    if (verdict instanceof CommandResult.RulesAccepted accepted) {
      body.put("verdict", "accepted")
          .put("number", accepted.number())
          .put("sha256", accepted.sha256());
      replies.json(exchange, 200, body);
    } else if (verdict instanceof CommandResult.RulesConflict conflict) {
      body.put("verdict", "conflict")
          .put("number", conflict.number())
          .put("winner_sha256", conflict.acceptedSha256())
          .put("winner_operator", conflict.acceptedOperator());
      replies.json(exchange, CONFLICT, body);
    } else if (verdict instanceof CommandResult.RulesStale stale) {
      body.put("verdict", "stale")
          .put("number", stale.number())
          .put("latest", stale.latestNumber());
      replies.json(exchange, CONFLICT, body);
    } else {
      error(exchange, UNAVAILABLE, "not_confirmed", "the latest file changes too fast; try again");
    }
  }

  private ObjectNode faults(RuleParseResult.Invalid invalid) {
    ObjectNode body = replies.mapper().createObjectNode().put("verdict", "invalid");
    ArrayNode faults = body.putArray("faults");
    for (RuleFault fault : invalid.faults()) {
      faults.addObject().put("line", fault.line()).put("problem", fault.problem());
    }
    return body;
  }

  private void error(HttpServerExchange exchange, int status, String code, String message)
      throws IOException {
    ObjectNode body = replies.mapper().createObjectNode();
    body.putObject("error").put("code", code).put("message", message);
    replies.json(exchange, status, body);
  }
}
