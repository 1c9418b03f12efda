package org.clementinesail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** Simulates an inference engine that holds a range of layers. */
final class FakeEngine {
  /** Prompt token that crashes every engine that holds layer 0 and receives it. */
  static final String CRASH_TOKEN = "CRASH! ";

  private static final int HTTP_CONFLICT = 409;
  private static final long CRASH_DELAY_MS = 1_000;

  /**
   * Settings of an engine.
   *
   * @param name target name
   * @param port port to listen on, on 127.0.0.1
   * @param announcedPort port to announce; other than {@code port} if VMs connect through a relay
   * @param dataCentre data centre to announce
   * @param model model name
   * @param from first layer, counted from 0
   * @param to one past the last layer
   * @param modelLayers number of layers of the whole model
   * @param accelerator kind of accelerator to announce
   * @param stepMillis duration of a step, in milliseconds
   * @param vms base URLs of the VMs' target API
   */
  record Config(
      String name,
      int port,
      int announcedPort,
      String dataCentre,
      String model,
      int from,
      int to,
      int modelLayers,
      String accelerator,
      long stepMillis,
      List<String> vms) {}

  private record PositionCounts(int stored, int replayed) {}

  private static final class RequestCache {
    final List<FakeModel.LayerCache> layers = new ArrayList<>();
    int attempt;
    int stored;
    int replayed;
  }

  private final Config config;
  private final Map<String, RequestCache> caches = new ConcurrentHashMap<>();
  private final Map<String, PositionCounts> finishedCounts = new ConcurrentHashMap<>();
  private final Set<String> requestsInStep = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private final Announcer announcer;
  private volatile boolean crashing;

  FakeEngine(Config config) {
    this.config = config;
    ObjectNode description =
        FakeServer.MAPPER
            .createObjectNode()
            .put("kind", "engine")
            .put("name", config.name())
            .put("address", "http://127.0.0.1:" + config.announcedPort())
            .put("data_centre", config.dataCentre())
            .put("model", config.model())
            .put("model_layers", config.modelLayers())
            .put("partial", false)
            .put("accelerator", config.accelerator())
            .put("layers_per_second", 1_000.0)
            .put("checks_fence", true);
    description.putObject("layers").put("from", config.from()).put("to", config.to());
    this.announcer =
        new Announcer(config.vms(), description, body -> body.put("running", running.get()));
  }

  Undertow start() {
    Undertow server = FakeServer.start(config.port(), this::handle);
    announcer.start();
    return server;
  }

  void leave() {
    announcer.leave();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    switch (exchange.getRequestPath()) {
      case "/v1/tokenize" -> tokenize(exchange);
      case "/v1/step" -> step(exchange);
      case "/v1/cancel" -> cancel(exchange);
      case "/v1/health" -> health(exchange);
      case "/fake/runs" -> listCounts(exchange);
      default -> FakeServer.reply(exchange, 404, FakeServer.MAPPER.createObjectNode());
    }
  }

  private void tokenize(HttpServerExchange exchange) throws IOException {
    ObjectNode reply = FakeServer.MAPPER.createObjectNode();
    ArrayNode tokens = reply.putArray("tokens");
    FakeModel.tokenize(FakeServer.body(exchange).path("text").asText()).forEach(tokens::add);
    FakeServer.reply(exchange, 200, reply);
  }

  private void step(HttpServerExchange exchange) throws Exception {
    JsonNode call = FakeServer.body(exchange);
    String request = call.path("request").asText();
    RequestCache cache = caches.computeIfAbsent(request, key -> newCache());
    running.incrementAndGet();
    requestsInStep.add(request);
    try {
      TimeUnit.MILLISECONDS.sleep(config.stepMillis());
      ObjectNode reply = runStep(cache, call);
      if (reply == null) {
        FakeServer.reply(exchange, HTTP_CONFLICT, FakeServer.MAPPER.createObjectNode());
      } else {
        FakeServer.reply(exchange, 200, reply);
      }
    } finally {
      requestsInStep.remove(request);
      running.decrementAndGet();
    }
  }

  private RequestCache newCache() {
    RequestCache cache = new RequestCache();
    for (int layer = config.from(); layer < config.to(); layer++) {
      cache.layers.add(new FakeModel.LayerCache());
    }
    return cache;
  }

  /** Returns the reply, or null if a newer attempt has run or an earlier position is not cached. */
  private @Nullable ObjectNode runStep(RequestCache cache, JsonNode call) {
    synchronized (cache) {
      int first = call.path("first_position").asInt();
      int attempt = call.path("attempt").asInt();
      if (attempt < cache.attempt || first > cache.layers.get(0).size()) {
        return null;
      }
      cache.attempt = attempt;
      ObjectNode reply =
          FakeServer.MAPPER
              .createObjectNode()
              .put("request", call.path("request").asText())
              .put("attempt", attempt)
              .put("first_position", first)
              .put("end_of_text", false);
      ArrayNode outputs = reply.putArray("outputs");
      long output = 0;
      int position = first;
      for (JsonNode input : call.path("inputs")) {
        output = runPosition(cache, position++, input.asText());
        if (!call.path("wants_token").asBoolean()) {
          outputs.add(Long.toHexString(output));
        }
      }
      if (call.path("wants_token").asBoolean()) {
        reply.put("token", FakeModel.token(output));
      }
      return reply;
    }
  }

  private long runPosition(RequestCache cache, int position, String input) {
    if (config.from() == 0 && input.equals(CRASH_TOKEN)) {
      crash();
    }
    long value = config.from() == 0 ? FakeModel.embed(input) : Long.parseUnsignedLong(input, 16);
    if (position < cache.layers.get(0).size()) {
      cache.replayed++;
    } else {
      cache.stored++;
    }
    for (int i = 0; i < cache.layers.size(); i++) {
      value = cache.layers.get(i).run(config.from() + i, position, value);
    }
    return value;
  }

  /**
   * Halts the process after a delay, like one that writes a core dump; until then this step and
   * health checks get no reply.
   */
  private void crash() {
    crashing = true;
    sleep(CRASH_DELAY_MS);
    Runtime.getRuntime().halt(1);
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void cancel(HttpServerExchange exchange) throws IOException {
    String request = FakeServer.body(exchange).path("request").asText();
    RequestCache cache = caches.remove(request);
    if (cache != null) {
      finishedCounts.put(request, new PositionCounts(cache.stored, cache.replayed));
    }
    FakeServer.reply(exchange, 200, FakeServer.MAPPER.createObjectNode());
  }

  private void health(HttpServerExchange exchange) throws IOException {
    if (crashing) {
      sleep(CRASH_DELAY_MS);
    }
    Deque<String> request = exchange.getQueryParameters().get("request");
    boolean inStep = request != null && requestsInStep.contains(request.getFirst());
    FakeServer.reply(exchange, 200, FakeServer.MAPPER.createObjectNode().put("running", inStep));
  }

  /** Replies with the numbers of stored and replayed positions of each finished request. */
  private void listCounts(HttpServerExchange exchange) throws IOException {
    ObjectNode reply = FakeServer.MAPPER.createObjectNode();
    finishedCounts.forEach(
        (request, counts) ->
            reply
                .putObject(request)
                .put("stored", counts.stored())
                .put("replayed", counts.replayed()));
    FakeServer.reply(exchange, 200, reply);
  }
}
