package org.clementinesail.server.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Optional;
import java.util.regex.Pattern;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;

/** HTTP handler for targets: announcements, load reports and departures. */
final class TargetApi implements HttpHandler {
  private static final int MAX_TEXT_CHARS = 256;
  private static final int MAX_LAYERS = 10_000;
  private static final int MAX_COUNT = 1_000_000;
  private static final long MIN_LEASE_MS = 500;
  private static final long MAX_LEASE_MS = 60_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double MAX_LAYERS_PER_SECOND = 1e12;
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("http://([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}");

  private final HttpResponses responses;
  private final TargetRegistry registry;
  private final TargetGossip gossip;

  /**
   * Creates the handler.
   *
   * @param responses writes HTTP responses
   * @param registry registers what targets report
   * @param gossip sends departures of targets to the other VMs immediately
   */
  TargetApi(HttpResponses responses, TargetRegistry registry, TargetGossip gossip) {
    this.responses = responses;
    this.registry = registry;
    this.gossip = gossip;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    exchange.startBlocking();
    try {
      if (!exchange.getRequestMethod().toString().equals("POST")) {
        throw new BadRequestException("the method must be POST");
      }
      JsonFields fields = new JsonFields(responses.readObject(exchange));
      switch (exchange.getRequestPath()) {
        case "/v1/targets/announce" -> announce(exchange, fields);
        case "/v1/targets/load" -> load(exchange, fields);
        case "/v1/targets/leave" -> leave(exchange, fields);
        default ->
            throw new BadRequestException(
                "allowed are /v1/targets/announce, /v1/targets/load and /v1/targets/leave");
      }
    } catch (BadRequestException e) {
      sendError(exchange, 400, "bad_request", e.problem());
    }
  }

  private void announce(HttpServerExchange exchange, JsonFields fields)
      throws BadRequestException, IOException {
    if (fields.integer("version", 1, MAX_COUNT) != 1) {
      throw new BadRequestException(
          "'version' must be 1; it is the only version of this interface");
    }
    long now = System.nanoTime();
    long leaseMillis = fields.integer("lease_ms", MIN_LEASE_MS, MAX_LEASE_MS);
    registry.recordAnnouncement(
        new TargetRecord(
            readDescription(fields),
            readIncarnation(fields),
            readSequence(fields),
            false,
            readLoad(fields, now),
            now + leaseMillis * NANOS_PER_MILLI));
    responses.sendJson(exchange, 200, responses.mapper().createObjectNode().put("known", true));
  }

  private void load(HttpServerExchange exchange, JsonFields fields)
      throws BadRequestException, IOException {
    boolean known =
        registry.recordLoad(
            fields.text("name", MAX_TEXT_CHARS),
            readIncarnation(fields),
            readSequence(fields),
            readLoad(fields, System.nanoTime()));
    responses.sendJson(exchange, 200, responses.mapper().createObjectNode().put("known", known));
  }

  private void leave(HttpServerExchange exchange, JsonFields fields)
      throws BadRequestException, IOException {
    boolean known =
        registry.recordLeaving(
            fields.text("name", MAX_TEXT_CHARS), readIncarnation(fields), readSequence(fields));
    gossip.flush();
    responses.sendJson(exchange, 200, responses.mapper().createObjectNode().put("known", known));
  }

  private static TargetDescription readDescription(JsonFields fields) throws BadRequestException {
    String address = fields.text("address", MAX_TEXT_CHARS);
    if (!ADDRESS_PATTERN.matcher(address).matches()) {
      throw new BadRequestException("'address' must be of the form http://IP-NUMBER:PORT");
    }
    String kind = fields.text("kind", MAX_TEXT_CHARS);
    if (!kind.equals("engine") && !kind.equals("service")) {
      throw new BadRequestException("'kind' must be engine or service");
    }
    boolean isEngine = kind.equals("engine");
    return new TargetDescription(
        fields.text("name", MAX_TEXT_CHARS),
        address,
        fields.text("data_centre", MAX_TEXT_CHARS),
        fields.text(isEngine ? "model" : "service", MAX_TEXT_CHARS),
        isEngine ? readEngine(fields) : null);
  }

  private static TargetDescription.Engine readEngine(JsonFields fields) throws BadRequestException {
    Optional<JsonFields> layers = fields.object("layers");
    if (layers.isEmpty()) {
      throw new BadRequestException("'layers' must be an object with 'from' and 'to'");
    }
    int modelLayers = (int) fields.integer("model_layers", 1, MAX_LAYERS);
    int from = (int) layers.get().integer("from", 0, modelLayers - 1L);
    int to = (int) layers.get().integer("to", from + 1L, modelLayers);
    return new TargetDescription.Engine(
        new LayerRange(from, to),
        modelLayers,
        fields.flag("partial"),
        fields.text("accelerator", MAX_TEXT_CHARS),
        fields.number("layers_per_second", 0.001, MAX_LAYERS_PER_SECOND),
        fields.flag("checks_fence"));
  }

  private static TargetLoad readLoad(JsonFields fields, long now) throws BadRequestException {
    return new TargetLoad(
        (int) fields.integer("running", 0, MAX_COUNT, 0),
        (int) fields.integer("queued", 0, MAX_COUNT, 0),
        fields.has("kv_used") ? fields.number("kv_used", 0, 1) : 0,
        now);
  }

  private static long readIncarnation(JsonFields fields) throws BadRequestException {
    return fields.integer("incarnation", 1, Long.MAX_VALUE);
  }

  private static long readSequence(JsonFields fields) throws BadRequestException {
    return fields.integer("sequence", 0, Long.MAX_VALUE);
  }

  private void sendError(HttpServerExchange exchange, int status, String code, String message)
      throws IOException {
    var body = responses.mapper().createObjectNode();
    body.putObject("error").put("code", code).put("message", message);
    responses.sendJson(exchange, status, body);
  }
}
