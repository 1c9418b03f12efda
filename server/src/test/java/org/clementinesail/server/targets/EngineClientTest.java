package org.clementinesail.server.targets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntPredicate;
import org.clementinesail.core.pipeline.StepCall;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.server.targets.Engines.StepOutcome;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how often a step is sent to an engine that does not respond, as counted by the engine. */
public final class EngineClientTest {
  private static final LayerRange LAYERS = new LayerRange(0, 8);
  private static final String HEALTH_RESPONSE = "{\"running\": false}";
  private static final String STEP_RESPONSE =
      "{\"request\": \"r1\", \"attempt\": 1, \"first_position\": 0, \"outputs\": [\"a\"]}";

  private final AtomicInteger steps = new AtomicInteger();
  private final AtomicInteger probes = new AtomicInteger();
  private HttpServer server;
  private ExecutorService threads;
  private volatile IntPredicate shouldHoldStep;
  private volatile CountDownLatch probesBeforeAnswer;
  private volatile CountDownLatch stepAnswered;

  /** Starts an engine that delays its response to selected steps until it has been probed. */
  @BeforeMethod
  public void startEngine() throws IOException {
    steps.set(0);
    probes.set(0);
    stepAnswered = new CountDownLatch(1);
    threads = Executors.newCachedThreadPool();
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext("/v1/health", this::health);
    server.createContext("/v1/step", this::step);
    server.start();
  }

  /** Stops the engine and interrupts delayed steps. */
  @AfterMethod(alwaysRun = true)
  public void stopEngine() {
    probesBeforeAnswer = new CountDownLatch(0);
    server.stop(0);
    threads.shutdownNow();
  }

  /**
   * A step is not sent again while the engine may still be reading it as the first request of a new
   * connection.
   */
  @Test
  public void slowFirstReadIsNotRetried() throws Exception {
    shouldHoldStep = number -> number == 1;
    probesBeforeAnswer = new CountDownLatch(2);
    assertTrue(client().step("sail-lm", call(), false) instanceof StepOutcome.Completed);
    assertEquals(steps.get(), 1);
    assertEquals(probes.get(), 2);
  }

  /** A step lost on a reused connection is sent again on a new one. */
  @Test
  public void lostPooledConnectionIsRetriedOnNewOne() throws Exception {
    shouldHoldStep = number -> number == 2;
    probesBeforeAnswer = new CountDownLatch(Integer.MAX_VALUE);
    EngineClient client = client();
    assertTrue(client.step("sail-lm", call(), false) instanceof StepOutcome.Completed);
    assertEquals(steps.get(), 1);
    assertTrue(client.step("sail-lm", call(), false) instanceof StepOutcome.Completed);
    assertEquals(steps.get(), 3);
  }

  /** A client that gives a slow machine time; how long it is patient is not tested here. */
  private static EngineClient client() {
    EngineClient.Waits waits =
        new EngineClient.Waits(
            Duration.ofMillis(500), Duration.ofSeconds(30), Duration.ofSeconds(60));
    return new EngineClient(
        new ObjectMapper(), Duration.ofSeconds(30), Duration.ofSeconds(60), waits);
  }

  private StepCall call() {
    String address = "http://127.0.0.1:" + server.getAddress().getPort();
    TargetDescription engine =
        new TargetDescription(
            "e0",
            address,
            "cardiff-a",
            "sail-lm",
            new TargetDescription.Engine(LAYERS, 8, false, "l4", 1_000, true));
    return new StepCall("r1", 1, new Stage(engine, LAYERS), 0, List.of("fold"), false);
  }

  private void health(HttpExchange exchange) throws IOException {
    probes.incrementAndGet();
    probesBeforeAnswer.countDown();
    if (probesBeforeAnswer.getCount() == 0) {
      // No further probe is due once the step has been answered.
      awaitOrInterrupt(stepAnswered);
    }
    respond(exchange, HEALTH_RESPONSE);
  }

  private static boolean awaitOrInterrupt(CountDownLatch latch) {
    try {
      latch.await();
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void step(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    if (shouldHoldStep.test(steps.incrementAndGet()) && !awaitOrInterrupt(probesBeforeAnswer)) {
      return;
    }
    respond(exchange, STEP_RESPONSE);
    stepAnswered.countDown();
  }

  private static void respond(HttpExchange exchange, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
