package org.clementinesail.fakes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Simulates a shop service and records each order that it ran. */
final class FakeShop {
  /**
   * Settings of a shop.
   *
   * @param name target name
   * @param port port to listen on, on 127.0.0.1
   * @param announcedPort port to announce; other than {@code port} if VMs connect through a relay
   * @param dataCentre data centre to announce
   * @param service service name
   * @param callMillis delay from the record of an order to its reply, in milliseconds
   * @param vms base URLs of the VMs' target API
   */
  record Config(
      String name,
      int port,
      int announcedPort,
      String dataCentre,
      String service,
      long callMillis,
      List<String> vms) {}

  private record Order(String workspace, String body) {}

  private final Config config;
  private final List<Order> orders = new CopyOnWriteArrayList<>();
  private final Announcer announcer;

  FakeShop(Config config) {
    this.config = config;
    ObjectNode description =
        FakeServer.MAPPER
            .createObjectNode()
            .put("kind", "service")
            .put("name", config.name())
            .put("address", "http://127.0.0.1:" + config.announcedPort())
            .put("data_centre", config.dataCentre())
            .put("service", config.service());
    this.announcer = new Announcer(config.vms(), description, body -> body.put("running", 0));
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
    String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
    switch (call) {
      case "POST /orders" -> placeOrder(exchange);
      case "GET /stock" ->
          FakeServer.reply(exchange, 200, FakeServer.MAPPER.createObjectNode().put("kits", 42));
      case "GET /fake/orders" -> listOrders(exchange);
      default -> FakeServer.reply(exchange, 404, FakeServer.MAPPER.createObjectNode());
    }
  }

  private void placeOrder(HttpServerExchange exchange) throws Exception {
    String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String workspace = exchange.getRequestHeaders().getFirst("X-Workspace");
    int number;
    synchronized (orders) {
      orders.add(new Order(workspace, body));
      number = orders.size();
    }
    TimeUnit.MILLISECONDS.sleep(config.callMillis());
    FakeServer.reply(
        exchange,
        201,
        FakeServer.MAPPER
            .createObjectNode()
            .put("order", config.name() + "-" + number)
            .put("charged", true));
  }

  private void listOrders(HttpServerExchange exchange) throws Exception {
    ObjectNode reply = FakeServer.MAPPER.createObjectNode();
    ArrayNode list = reply.putArray("orders");
    orders.forEach(
        order -> list.addObject().put("workspace", order.workspace()).put("body", order.body()));
    FakeServer.reply(exchange, 200, reply);
  }
}
