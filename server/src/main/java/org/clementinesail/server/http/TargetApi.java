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

/** The interface for targets: announcements, load reports and leaving. */
final class TargetApi implements HttpHandler {
  private static final int MAX_TEXT_CHARS = 256;
  private static final int MAX_LAYERS = 10_000;
  private static final int MAX_COUNT = 1_000_000;
  private static final long MIN_LEASE_MS = 500;
  private static final long MAX_LEASE_MS = 60_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double MAX_RATE = 1e12;
  private static final Pattern ADDRESS =
      Pattern.compile("http://([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}");

  private final HttpReplies replies;
  private final TargetRegistry registry;
  private final TargetGossip gossip;

  /**
   * Creates the interface.
   *
   * @param replies writes answers
   * @param registry takes statements
   * @param gossip spreads them
   */
  TargetApi(HttpReplies replies, TargetRegistry registry, TargetGossip gossip) {
    this.replies = replies;
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
      JsonFields fields = new JsonFields(replies.readObject(exchange));
      switch (exchange.getRequestPath()) {
        case "/v1/targets/announce" -> announce(exchange, fields);
        case "/v1/targets/load" -> load(exchange, fields);
        case "/v1/targets/leave" -> leave(exchange, fields);
        default ->
            throw new BadRequestException(
                "allowed are /v1/targets/announce, /v1/targets/load and /v1/targets/leave");
      }
    } catch (BadRequestException e) {
      error(exchange, 400, "bad_request", e.problem());
    }
  }

  private void announce(HttpServerExchange exchange, JsonFields fields)
      throws BadRequestException, IOException {
    if (fields.whole("version", 1, MAX_COUNT) != 1) {
      throw new BadRequestException(
          "'version' must be 1; it is the only version of this interface");
    }
    long now = System.nanoTime();
    long lease = fields.whole("lease_ms", MIN_LEASE_MS, MAX_LEASE_MS);
    registry.announced(
        new TargetRecord(
            description(fields),
            incarnation(fields),
            sequence(fields),
            false,
            readLoad(fields, now),
            now + lease * NANOS_PER_MILLI));
    replies.json(exchange, 200, replies.mapper().createObjectNode().put("known", true));
  }

  private void load(HttpServerExchange exchange, JsonFields fields)
      throws BadRequestException, IOException {
    boolean known =
        registry.reported(
            fields.text("name", MAX_TEXT_CHARS),
            incarnation(fields),
            sequence(fields),
            readLoad(fields, System.nanoTime()));
    replies.json(exchange, 200, replies.mapper().createObjectNode().put("known", known));
  }

  private void leave(HttpServerExchange exchange, JsonFields fields)
      throws BadRequestException, IOException {
    boolean known =
        registry.leaving(
            fields.text("name", MAX_TEXT_CHARS), incarnation(fields), sequence(fields));
    gossip.flush();
    replies.json(exchange, 200, replies.mapper().createObjectNode().put("known", known));
  }

  private static TargetDescription description(JsonFields fields) throws BadRequestException {
    String address = fields.text("address", MAX_TEXT_CHARS);
    if (!ADDRESS.matcher(address).matches()) {
      throw new BadRequestException("'address' must be of the form http://IP-NUMBER:PORT");
    }
    String kind = fields.text("kind", MAX_TEXT_CHARS);
    if (!kind.equals("engine") && !kind.equals("service")) {
      throw new BadRequestException("'kind' must be engine or service");
    }
    boolean engine = kind.equals("engine");
    return new TargetDescription(
        fields.text("name", MAX_TEXT_CHARS),
        address,
        fields.text("data_centre", MAX_TEXT_CHARS),
        fields.text(engine ? "model" : "service", MAX_TEXT_CHARS),
        engine ? engine(fields) : null);
  }

  private static TargetDescription.Engine engine(JsonFields fields) throws BadRequestException {
    Optional<JsonFields> layers = fields.object("layers");
    if (layers.isEmpty()) {
      throw new BadRequestException("'layers' must be an object with 'from' and 'to'");
    }
    int modelLayers = (int) fields.whole("model_layers", 1, MAX_LAYERS);
    int from = (int) layers.get().whole("from", 0, modelLayers - 1L);
    int to = (int) layers.get().whole("to", from + 1L, modelLayers);
    return new TargetDescription.Engine(
        new LayerRange(from, to),
        modelLayers,
        fields.flag("partial"),
        fields.text("accelerator", MAX_TEXT_CHARS),
        fields.number("layers_per_second", 0.001, MAX_RATE),
        fields.flag("checks_fence"));
  }

  private static TargetLoad readLoad(JsonFields fields, long now) throws BadRequestException {
    return new TargetLoad(
        (int) fields.whole("running", 0, MAX_COUNT, 0),
        (int) fields.whole("queued", 0, MAX_COUNT, 0),
        fields.has("kv_used") ? fields.number("kv_used", 0, 1) : 0,
        now);
  }

  private static long incarnation(JsonFields fields) throws BadRequestException {
    return fields.whole("incarnation", 1, Long.MAX_VALUE);
  }

  private static long sequence(JsonFields fields) throws BadRequestException {
    return fields.whole("sequence", 0, Long.MAX_VALUE);
  }

  private void error(HttpServerExchange exchange, int status, String code, String message)
      throws IOException {
    var body = replies.mapper().createObjectNode();
    body.putObject("error").put("code", code).put("message", message);
    replies.json(exchange, status, body);
  }
}
