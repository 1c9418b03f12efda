package org.clementinesail.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.IOException;

/** Starts the HTTP servers of the stand-ins, and reads and writes their JSON bodies. */
final class FakeServer {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final int WORKER_THREADS = 64;

  /** Handles one request and sends the reply. */
  @FunctionalInterface
  interface Handler {
    void handle(HttpServerExchange exchange) throws Exception;
  }

  private FakeServer() {}

  static Undertow start(int port, Handler handler) {
    Undertow server =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1")
            .setIoThreads(2)
            .setWorkerThreads(WORKER_THREADS)
            .setHandler(new BlockingHandler(handler::handle))
            .build();
    server.start();
    return server;
  }

  static JsonNode body(HttpServerExchange exchange) throws IOException {
    return MAPPER.readTree(exchange.getInputStream().readAllBytes());
  }

  static void reply(HttpServerExchange exchange, int status, JsonNode body) throws IOException {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getOutputStream().write(MAPPER.writeValueAsBytes(body));
    exchange.endExchange();
  }
}
