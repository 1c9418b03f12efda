package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.desired.Workspace;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.limits.PlannedStop;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** A proxy with two scripted targets, started anew for each test. */
abstract class ProxyTest {
  static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 4\r\n\r\nwell";
  static final String REFUSAL = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
  static final String EVENT_STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Type: text/event-stream\r\n";

  /** Timeout of most routes. */
  private static final int TIMEOUT_MS = 900;

  /** Timeout of routes whose requests reach several targets, one after the other. */
  static final int LONG_TIMEOUT_MS = 3_000;

  /** How long tests wait for bytes; longer than the timeout of the routes. */
  private static final int READ_TIMEOUT_MS = 8_000;

  private MultiThreadIoEventLoopGroup group;
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  ProxyServer proxy;
  RoutingState routing;
  EventLoop loop;
  int port;
  ScriptedTarget first;
  ScriptedTarget second;

  /** Starts a proxy and two targets, which the proxy does not know yet. */
  @BeforeMethod
  public void start() throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    routing = new RoutingState(settings(), new Random(1));
    ShortHeaderDialect dialect = dialect();
    IdleEngineDialect engineDialect = new IdleEngineDialect();
    logged.reset();
    PrintStream logStream = new PrintStream(logged, true, StandardCharsets.UTF_8);
    DecisionLog log = new DecisionLog("test", logStream);
    StartupWait startupWait = new StartupWait(System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
    proxy =
        new ProxyServer(
            loop, dialect, engineDialect, routing, startupWait, new ProxyMetrics(), log);
    port = UnusedPort.listen(proxy::listen);
    first = new ScriptedTarget();
    second = new ScriptedTarget();
  }

  /** Returns the header names that the proxy and the targets use. */
  ShortHeaderDialect dialect() {
    return new ShortHeaderDialect();
  }

  /** Returns the log lines written so far. */
  String logged() {
    return logged.toString(StandardCharsets.UTF_8);
  }

  /** Returns the routing settings, by default with enough retries for any test. */
  RoutingState.Settings settings() {
    return new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0.2, 200);
  }

  /** Stops the proxy, the targets and the event loop. */
  @AfterMethod
  public void stop() throws Exception {
    loop.submit(proxy::close).sync();
    first.close();
    second.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private static Route route(String name, Route.Kind kind, boolean keyless, boolean resumable) {
    return route(name, kind, keyless, resumable, 2, TIMEOUT_MS);
  }

  private static Route route(
      String name,
      Route.Kind kind,
      boolean keyless,
      boolean resumable,
      int maxAttempts,
      int timeoutMillis) {
    return new Route(
        name,
        "shop",
        "/" + name + "/",
        kind,
        timeoutMillis,
        100,
        1,
        List.of(new Route.Split("s", 1)),
        maxAttempts,
        keyless,
        resumable,
        0);
  }

  void applyDesiredState() throws Exception {
    DesiredState.CheckResult checked =
        DesiredState.check(
            1,
            List.of(
                route("safe", Route.Kind.IDEMPOTENT, true, false),
                route("once", Route.Kind.NON_IDEMPOTENT, true, false),
                route("stream", Route.Kind.STREAM, true, true, 2, LONG_TIMEOUT_MS),
                route("stream3", Route.Kind.STREAM, true, true, 3, LONG_TIMEOUT_MS),
                route("single", Route.Kind.IDEMPOTENT, true, false, 1, LONG_TIMEOUT_MS),
                route("lookup", Route.Kind.IDEMPOTENT, true, false, 2, LONG_TIMEOUT_MS),
                route("fragile", Route.Kind.STREAM, true, false),
                route("keyed", Route.Kind.IDEMPOTENT, false, false)),
            List.of(new Service("s", 100, null)),
            List.of(new Workspace("acme", List.of("secret-key"), -1)),
            RequestLimits.DEFAULT);
    loop.submit(() -> routing.desiredState(((DesiredState.Valid) checked).state())).sync();
  }

  /** Announces a target; one in data centre "a", that of the proxy, is preferred. */
  void addTarget(String id, ScriptedTarget target, String dataCentre) throws Exception {
    addTarget(id, target.address(), dataCentre);
  }

  /** Announces a target at an IP address and port. */
  void addTarget(String id, String address, String dataCentre) throws Exception {
    TargetStatement statement =
        new TargetStatement(id, "s", address, dataCentre, 8, Phase.READY, "", null, 1, 1);
    loop.submit(() -> routing.fleet().recordStatement(statement, System.nanoTime())).sync();
  }

  void startTargets(String script) throws Exception {
    applyDesiredState();
    addTarget("t1", first, "a");
    addTarget("t2", second, "b");
    first.script = request -> script;
    second.script = request -> OK_RESPONSE;
  }

  /** Returns a success response with the id of a request, whose connection can be kept. */
  static String identifiedResponse(String request) {
    int start = request.indexOf("Id: ");
    String id = request.substring(start, request.indexOf("\r\n", start));
    return OK_RESPONSE.replace("Proof", id + "\r\nProof");
  }

  /** Begins a planned stop, with times in milliseconds from now. */
  void drain(long lateInMillis, long endsInMillis) throws Exception {
    long now = System.nanoTime();
    PlannedStop times =
        new PlannedStop(
            now + TimeUnit.MILLISECONDS.toNanos(lateInMillis),
            now + TimeUnit.MILLISECONDS.toNanos(endsInMillis));
    loop.submit(() -> proxy.drain(times)).sync();
  }

  String call(String method, String path, String headers, String body) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
      String request =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n"
              + (headers.startsWith("Id: ") ? "" : "Id: r1\r\n")
              + headers
              + length
              + "\r\n"
              + body;
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * What a caller received on a connection that it keeps open.
   *
   * @param text all bytes
   * @param closed whether the proxy closed the connection
   * @param millis time until the last chunk or the close, in milliseconds
   */
  record Received(String text, boolean closed, long millis) {
    /** Returns whether a chunked response has its last chunk. */
    boolean complete() {
      return text.endsWith("0\r\n\r\n");
    }

    /** Returns how many heads there are in the bytes. */
    int heads() {
      return text.split("HTTP/1.1 ", -1).length - 1;
    }
  }

  /** Sends a POST on a connection to be kept, and reads up to the last chunk or the close. */
  Received receive(String path, String headers) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      String request =
          "POST " + path + " HTTP/1.1\r\nHost: shop\r\nId: r1\r\n" + headers + "Content-Length: 0";
      socket.getOutputStream().write((request + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      return receive(socket.getInputStream());
    }
  }

  private static Received receive(InputStream in) throws IOException {
    long start = System.nanoTime();
    StringBuilder text = new StringBuilder();
    boolean closed = false;
    try {
      while (!text.toString().endsWith("0\r\n\r\n") && !closed) {
        int next = in.read();
        closed = next < 0;
        if (!closed) {
          text.append((char) next);
        }
      }
    } catch (SocketTimeoutException e) {
      text.append("(open, nothing more within ").append(READ_TIMEOUT_MS).append(" ms)");
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    return new Received(text.toString(), closed, millis);
  }

  static int status(String response) {
    return response.isEmpty() ? 0 : Integer.parseInt(response.substring(9, 12));
  }
}
