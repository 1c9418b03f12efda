package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get from an engine that is silent for a time, to probes too, and goes on. */
public final class SilentEngineTest extends ProxyTest {
  private static final LayerRange ALL_LAYERS = new LayerRange(0, 40);
  private static final EngineModel MODEL =
      new EngineModel(
          8,
          40,
          1,
          1_000,
          1,
          0.01,
          0.01,
          100_000,
          1,
          1_000,
          100,
          10,
          List.of(new EngineModel.Accelerator("l4", 80_000, 1, 1)));

  private static final String MIDWAY =
      stream(event(1) + event(2) + ScriptedTarget.SILENCE + event(3) + event(4));
  private static final String BEFORE_THE_FIRST_EVENT =
      stream(ScriptedTarget.SILENCE + event(1) + event(2) + event(3) + event(4));
  private static final String BEFORE_THE_HEAD =
      ScriptedTarget.SILENCE + stream(event(1) + event(2) + event(3) + event(4));

  /** Room for one retry; each request adds a fraction of one only. */
  private static final double ONE_RETRY = 2;

  private final AtomicLong version = new AtomicLong();
  private double retryAllowance = ONE_RETRY;
  private ScheduledExecutorService threads = Executors.newScheduledThreadPool(2);

  private static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  private static String stream(String events) {
    int length = events.replace(ScriptedTarget.SILENCE, "").length();
    return EVENT_STREAM_HEAD + "Content-Length: " + length + "\r\n\r\n" + events;
  }

  @Override
  RoutingState.Settings settings() {
    return new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0.01, retryAllowance);
  }

  /** Starts threads for the operator and the callers. */
  @BeforeMethod
  public void startThreads() {
    threads = Executors.newScheduledThreadPool(2);
  }

  /** Ends these threads. */
  @AfterMethod(alwaysRun = true)
  public void stopThreads() {
    threads.shutdownNow();
    retryAllowance = ONE_RETRY;
  }

  private void submitVersion(List<Route> routes, List<Service> services) throws Exception {
    DesiredState.CheckResult checked =
        DesiredState.check(
            version.incrementAndGet(), routes, services, List.of(), RequestLimits.DEFAULT);
    loop.submit(() -> routing.desiredState(((DesiredState.Valid) checked).state())).sync();
  }

  private void submitRoute(int maxAttempts) throws Exception {
    Route route =
        new Route(
            "stream",
            "shop",
            "/stream/",
            Route.Kind.STREAM,
            5_000,
            500,
            1,
            List.of(new Route.Split("lm", 1)),
            maxAttempts,
            true,
            true,
            0);
    submitVersion(List.of(route), List.of(new Service("lm", 100, MODEL)));
  }

  private void addEngine(String id, ScriptedTarget target, String script) throws Exception {
    target.script =
        request -> {
          if (!request.startsWith("GET /report")) {
            return script;
          }
          String report = IdleEngineDialect.REPORT_RESPONSE;
          return script.contains(ScriptedTarget.SILENCE) ? ScriptedTarget.SILENCE + report : report;
        };
    TargetStatement statement =
        new TargetStatement(
            id, "lm", target.address(), "a", 8, Phase.READY, "l4", ALL_LAYERS, 1, 1);
    loop.submit(() -> routing.fleet().recordStatement(statement, System.nanoTime())).sync();
  }

  /** Adds the second engine once the first one has the request. */
  private void addSecondEngineLater(String script) {
    threads.submit(
        () -> {
          while (streams(first) == 0) {
            TimeUnit.MILLISECONDS.sleep(5);
          }
          addEngine("e2", second, script);
          return true;
        });
  }

  /** A stream whose caller reads late goes on after the attempt beside it was refused. */
  @Test
  public void slowCallersStreamGoesOnAfterARefusalBesideIt() throws Exception {
    submitRoute(2);
    StringBuilder events = new StringBuilder();
    for (int id = 1; id <= 3_000; id++) {
      events.append(event(id).replace("data: ", "data: " + "x".repeat(4_000)));
    }
    String script = stream(events.toString());
    addEngine("e1", first, script);
    first.script = request -> request.startsWith("GET /report") ? ScriptedTarget.HANG : script;
    addSecondEngineLater(ScriptedTarget.SILENCE + REFUSAL);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(10_000);
      String headers = "Host: shop\r\nId: r1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      String request = "POST /stream/x HTTP/1.1\r\n" + headers;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      TimeUnit.MILLISECONDS.sleep(1_000);
      byte[] bytes = socket.getInputStream().readAllBytes();
      String text = new String(bytes, StandardCharsets.ISO_8859_1);
      assertTrue(text.endsWith("0\r\n\r\n"), text.length() + " characters; " + logged());
    }
  }

  private String callStream() throws Exception {
    Future<String> response = threads.submit(() -> call("POST", "/stream/x", "", "p"));
    return response.get(20, TimeUnit.SECONDS);
  }

  private static void assertComplete(String response) {
    assertEquals(status(response), 200, response);
    List<String> events =
        response
            .lines()
            .filter(line -> line.startsWith("data: "))
            .map(l -> l.substring(6))
            .toList();
    assertEquals(events, List.of("e1", "e2", "e3", "e4"), response);
    assertTrue(response.endsWith("0\r\n\r\n"), response);
  }

  private static long streams(ScriptedTarget target) {
    return target.requests.stream().filter(request -> request.startsWith("POST")).count();
  }

  /** When the engine is silent. */
  @DataProvider
  public Object[][] silences() {
    return new Object[][] {{MIDWAY}, {BEFORE_THE_FIRST_EVENT}, {BEFORE_THE_HEAD}};
  }

  /** Without a retry in the budget the response goes on when the engine does. */
  @Test(dataProvider = "silences")
  public void emptyBudgetEndsNoResponse(String script) throws Exception {
    stop();
    retryAllowance = 0;
    start();
    submitRoute(2);
    addEngine("e1", first, script);
    addSecondEngineLater(stream(event(3)));
    assertComplete(callStream());
    assertEquals(streams(second), 0);
  }

  /** Without another path the response goes on, and the engine does not run the request again. */
  @Test(dataProvider = "silences")
  public void missingPathEndsNoResponse(String script) throws Exception {
    submitRoute(2);
    addEngine("e1", first, script);
    assertComplete(callStream());
    assertEquals(streams(first), 1);
  }

  /** What the second engine answers, and when the first one is silent. */
  @DataProvider
  public Object[][] secondAnswers() {
    return new Object[][] {
      {MIDWAY, REFUSAL},
      {MIDWAY, ScriptedTarget.CLOSE},
      {MIDWAY, ScriptedTarget.HANG},
      {MIDWAY, EVENT_STREAM_HEAD + "Content-Length: 90\r\n\r\nid: 3\nda" + ScriptedTarget.RESET},
      {BEFORE_THE_FIRST_EVENT, REFUSAL},
      {BEFORE_THE_FIRST_EVENT, ScriptedTarget.CLOSE},
      {BEFORE_THE_FIRST_EVENT, "HTTP/1.1 500 No\r\nProof: p\r\nContent-Length: 2\r\n\r\nno"},
      {BEFORE_THE_HEAD, REFUSAL},
      {BEFORE_THE_HEAD, ScriptedTarget.CLOSE}
    };
  }

  /** A second run that fails costs nothing: the first one goes on. */
  @Test(dataProvider = "secondAnswers")
  public void failedSecondRunEndsNoResponse(String script, String secondAnswer) throws Exception {
    submitRoute(2);
    addEngine("e1", first, script);
    addSecondEngineLater(secondAnswer);
    assertComplete(callStream());
    assertTrue(streams(second) <= 1, "more than the budget");
  }

  /** A second run that works replaces the silent one, with each event once. */
  @Test
  public void secondRunReplacesTheSilentOne() throws Exception {
    submitRoute(2);
    addEngine("e1", first, stream(event(1) + event(2) + ScriptedTarget.HANG));
    first.script =
        request ->
            request.startsWith("GET /report")
                ? ScriptedTarget.HANG
                : EVENT_STREAM_HEAD + "Content-Length: 90\r\n\r\n" + event(1) + event(2);
    addSecondEngineLater(stream(event(2) + event(3) + event(4)));
    assertComplete(callStream());
    assertTrue(second.requests.stream().anyMatch(request -> request.contains("After: 2")));
  }

  /** Versions in quick succession, some without the route and service, end no response. */
  @Test(dataProvider = "silences")
  public void versionsMeanwhileEndNoResponse(String script) throws Exception {
    submitRoute(2);
    addEngine("e1", first, script);
    threads.scheduleWithFixedDelay(
        () -> {
          try {
            submitVersion(List.of(), List.of());
            submitRoute(1);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        },
        50,
        30,
        TimeUnit.MILLISECONDS);
    assertComplete(callStream());
  }
}
