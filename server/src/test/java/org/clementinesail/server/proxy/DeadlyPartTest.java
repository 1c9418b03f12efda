package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinesail.core.crashes.CrashRecord;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a part of prompts that crashes engines is refused, and what sound requests get. */
public final class DeadlyPartTest {
  private static final int ENGINES = 7;
  private static final LayerRange ALL_LAYERS = new LayerRange(0, 40);
  private static final EngineModel MODEL =
      new EngineModel(8, 40, 1, 1_000, 1, 0.01, 0.01, 100_000, 1, 1_000, 100, 10, accelerators());
  private static final String STREAM =
      String.join(
          "\r\n",
          "HTTP/1.1 200 OK",
          "Proof: p",
          "Content-Type: text/event-stream",
          "Content-Length: 14",
          "",
          "id: 1\ndata:a\n\n");

  private final AtomicInteger requestNumber = new AtomicInteger();
  private final List<ScriptedTarget> engines = new ArrayList<>();
  private final Set<ScriptedTarget> crashed = ConcurrentHashMap.newKeySet();
  private final List<CrashRecord> sent = new CopyOnWriteArrayList<>();
  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private RoutingState routing;
  private ProxyServer proxy;
  private int port;

  private static List<EngineModel.Accelerator> accelerators() {
    return List.of(new EngineModel.Accelerator("l4", 80_000, 1, 1));
  }

  /** Starts a proxy and engines that hold the whole model and crash on the part "deadly". */
  @BeforeMethod
  public void start() throws Exception {
    sent.clear();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    routing =
        new RoutingState(
            new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0.2, 200), new Random(1));
    DecisionLog log = new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream()));
    StartupWait wait = new StartupWait(System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
    proxy =
        new ProxyServer(
            loop,
            new ShortHeaderDialect(),
            new IdleEngineDialect(),
            routing,
            wait,
            new ProxyMetrics(),
            log);
    proxy.crashReports().sender(sent::addAll);
    port = UnusedPort.listen(proxy::listen);
    applyDesiredState();
    for (int i = 0; i < ENGINES; i++) {
      addEngine("e" + i);
    }
  }

  private void applyDesiredState() throws Exception {
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
            2,
            true,
            true,
            0);
    DesiredState.CheckResult checked =
        DesiredState.check(
            1,
            List.of(route),
            List.of(new Service("lm", 100, MODEL)),
            List.of(),
            RequestLimits.DEFAULT);
    loop.submit(() -> routing.desiredState(((DesiredState.Valid) checked).state())).sync();
  }

  private void addEngine(String id) throws Exception {
    ScriptedTarget engine = new ScriptedTarget();
    engine.script = request -> answer(engine, request);
    engines.add(engine);
    TargetStatement statement =
        new TargetStatement(
            id, "lm", engine.address(), "a", 8, Phase.READY, "l4", ALL_LAYERS, 1, 1);
    loop.submit(() -> routing.fleet().recordStatement(statement, System.nanoTime())).sync();
  }

  private String answer(ScriptedTarget engine, String request) {
    if (crashed.contains(engine)) {
      // A connection that was accepted while the port was being closed.
      return ScriptedTarget.CLOSE;
    }
    if (request.startsWith("GET /report")) {
      return IdleEngineDialect.REPORT_RESPONSE;
    } else if (request.contains("lost")) {
      return ScriptedTarget.CLOSE;
    } else if (request.contains("failing")) {
      return "HTTP/1.1 500 Error\r\nProof: p\r\nContent-Length: 0\r\n\r\n";
    } else if (!request.contains("deadly")) {
      return STREAM;
    }
    crashed.add(engine);
    try {
      engine.close();
      return ScriptedTarget.CLOSE;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Stops the proxy, the engines and the event loop. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    loop.submit(proxy::close).sync();
    for (ScriptedTarget engine : engines) {
      engine.close();
    }
    engines.clear();
    crashed.clear();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** Sends a request that is like no other but for its parts; returns the response. */
  private String call(String parts) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      String request =
          String.join(
              "\r\n",
              "POST /stream/ HTTP/1.1",
              "Host: shop",
              "Id: r" + requestNumber.incrementAndGet(),
              "Parts: " + parts,
              "Connection: close",
              "Content-Length: 4",
              "",
              String.valueOf(1_000 + requestNumber.get()));
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private int status(String parts) throws IOException {
    return ProxyTest.status(call(parts));
  }

  private long deadlySent() {
    return engines.stream()
        .flatMap(engine -> engine.requests.stream())
        .filter(request -> request.contains("deadly"))
        .count();
  }

  /** After three crashes the part is refused, and sound requests with the same first part run. */
  @Test
  public void partThatCrashesEnginesIsRefused() throws Exception {
    assertEquals(status("preamble"), 200);
    for (int i = 0; i < 5; i++) {
      call("preamble,deadly");
    }
    assertEquals(status("preamble,deadly"), 503);
    assertEquals(deadlySent(), 3);
    for (int i = 0; i < 5; i++) {
      assertEquals(status("preamble"), 200);
    }
  }

  /** A part is refused at once after another VM has reported it. */
  @Test
  public void partThatAnotherVmReportsIsRefused() throws Exception {
    for (int i = 0; i < 3; i++) {
      call("preamble,deadly");
    }
    List<CrashRecord> records =
        loop.submit(() -> List.copyOf(proxy.crashReports().records())).get();
    assertEquals(deadlySent(), 3);
    stop();
    start();
    loop.submit(() -> proxy.crashReports().receive(records)).sync();
    assertEquals(status("preamble,deadly"), 503);
    assertEquals(deadlySent(), 0);
  }

  /** A failure status says nothing of a part; it does not clear it. */
  @Test
  public void failureBetweenCrashesDoesNotClearPart() throws Exception {
    call("preamble,deadly");
    assertEquals(crashed.size(), 2);
    assertEquals(status("preamble,deadly,failing"), 500);
    call("preamble,deadly");
    assertEquals(status("preamble,deadly"), 503);
    assertEquals(crashed.size(), 3);
  }

  /** Engines that lose answers and go on reporting are not taken for crashed ones. */
  @Test
  public void lostAnswersAreNoCrashes() throws Exception {
    for (int i = 0; i < 4; i++) {
      assertEquals(status("preamble,lost"), 502);
    }
    assertEquals(loop.submit(() -> proxy.crashReports().records()).get(), List.of());
    assertEquals(status("preamble"), 200);
  }
}
