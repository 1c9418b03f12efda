package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.desired.Workspace;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * The VM of {@link ProxyTest}, which is cut off from its targets, and another VM that serves
 * requests for it, started anew for each test.
 */
abstract class TwoVmTest extends ProxyTest {
  static final Service SERVICE = new Service("s", 100, null);
  static final Workspace WORKSPACE = new Workspace("acme", List.of("secret-key"), -1);

  private static final int CALLER_TIMEOUT_MS = 8_000;

  private final ByteArrayOutputStream peerLogged = new ByteArrayOutputStream();
  private MultiThreadIoEventLoopGroup peerGroup;
  ExecutorService callers;
  EventLoop peerLoop;
  RoutingState peerRouting;
  ProxyServer peer;
  int relayPort;

  /** Starts the other VM, with the same desired state. */
  @BeforeMethod
  public void startPeer() throws Exception {
    callers = Executors.newCachedThreadPool();
    peerGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    peerLoop = (EventLoop) peerGroup.next();
    peerRouting = new RoutingState(settings(), new Random(2));
    peerLogged.reset();
    PrintStream logStream = new PrintStream(peerLogged, true, StandardCharsets.UTF_8);
    StartupWait wait = new StartupWait(System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
    peer =
        new ProxyServer(
            peerLoop,
            dialect(),
            new IdleEngineDialect(),
            peerRouting,
            wait,
            new ProxyMetrics(),
            new DecisionLog("peer", logStream));
    peer.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    relayPort = UnusedPort.listen(peer::listenForPeers);
    applyDesiredState();
    peerLoop.submit(() -> peerRouting.desiredState(routing.desiredState().orElseThrow())).sync();
    knowPeers(peerVm());
  }

  /** Stops the other VM. */
  @AfterMethod(alwaysRun = true)
  public void stopPeer() throws Exception {
    callers.shutdownNow();
    peerLoop.submit(peer::close).sync();
    peerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** Returns the other VM as the VM under test knows it. */
  PeerVm peerVm() {
    return new PeerVm("peer", "127.0.0.1:" + relayPort, "a");
  }

  void knowPeers(PeerVm... vms) throws Exception {
    loop.submit(() -> proxy.peers().peers(List.of(vms))).sync();
  }

  /** Cuts the VM under test off from all targets, without a check that could end the cut. */
  void cutOff() throws Exception {
    loop.submit(() -> proxy.peers().checks().reachability().presumeCutOff("s")).sync();
  }

  /** Makes a target known to the other VM. */
  void addTargetOfPeer(String id, ScriptedTarget target) throws Exception {
    TargetStatement statement =
        new TargetStatement(id, "s", target.address(), "a", 8, Phase.READY, "", null, 1, 1);
    peerLoop.submit(() -> peerRouting.fleet().recordStatement(statement, System.nanoTime())).sync();
  }

  /** Returns a target's answer as a VM passes it on: it says which target that is. */
  static String ofVm(String answer) {
    return answer.replaceFirst("\r\n", "\r\nRelay-Target: 1 t9\r\n");
  }

  /** Returns the log lines of both VMs. */
  String bothLogs() {
    return logged() + "-- other VM:\n" + peerLogged.toString(StandardCharsets.UTF_8);
  }

  static Route relayRoute(String name, Route.Kind kind, boolean keyless) {
    return relayRoute(name, kind, keyless, LONG_TIMEOUT_MS);
  }

  static Route relayRoute(String name, Route.Kind kind, boolean keyless, int timeoutMillis) {
    return new Route(
        name,
        "shop",
        "/" + name + "/",
        kind,
        timeoutMillis,
        100,
        1,
        List.of(new Route.Split("s", 1)),
        3,
        keyless,
        kind == Route.Kind.STREAM,
        0);
  }

  static DesiredState state(
      long version, List<Route> routes, List<Workspace> workspaces, RequestLimits limits) {
    List<Service> services = routes.isEmpty() ? List.of() : List.of(SERVICE);
    return ((DesiredState.Valid) DesiredState.check(version, routes, services, workspaces, limits))
        .state();
  }

  void applyHere(DesiredState state) throws Exception {
    loop.submit(() -> routing.desiredState(state)).sync();
  }

  void applyAtPeer(DesiredState state) throws Exception {
    peerLoop.submit(() -> peerRouting.desiredState(state)).sync();
  }

  static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  /** Returns a stream of a target; markers of {@link ScriptedTarget} do not count. */
  static String stream(String events) {
    int length = events.replaceAll("<[a-z]+>", "").length();
    return EVENT_STREAM_HEAD + "Content-Length: " + length + "\r\n\r\n" + events;
  }

  static List<String> events(String response) {
    return response.lines().filter(l -> l.startsWith("data: ")).map(l -> l.substring(6)).toList();
  }

  static List<String> statuses(String responses) {
    return Pattern.compile("HTTP/1\\.1 ([0-9]{3})")
        .matcher(responses)
        .results()
        .map(match -> match.group(1))
        .toList();
  }

  static String request(String path, String headers) {
    return "POST " + path + " HTTP/1.1\r\nHost: shop\r\n" + headers + "Content-Length: 0\r\n\r\n";
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(CALLER_TIMEOUT_MS);
    return socket;
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  static void awaitRequests(ScriptedTarget target, int count) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONG_TIMEOUT_MS);
    while (target.requests.size() < count && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }
}
