package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Two VMs: the one that callers reach is cut off from the targets, and the serving VM sends its
 * requests to them.
 */
abstract class TwoHopTest extends ProxyTest {
  private static final long MAX_DETECTION_MS = 3_000;
  private static final int READ_TIMEOUT_MS = 8_000;

  private MultiThreadIoEventLoopGroup servingGroup;
  private final ByteArrayOutputStream servingLogged = new ByteArrayOutputStream();
  EventLoop servingLoop;
  RoutingState servingRouting;
  ProxyServer serving;
  int servingPort;
  int relayPort;

  /** Starts the serving VM and cuts off the other one from its first target. */
  @BeforeMethod
  public void startServingVm() throws Exception {
    servingGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    servingLoop = (EventLoop) servingGroup.next();
    servingRouting = new RoutingState(settings(), new Random(2));
    servingLogged.reset();
    PrintStream logStream = new PrintStream(servingLogged, true, StandardCharsets.UTF_8);
    serving =
        new ProxyServer(
            servingLoop,
            dialect(),
            new IdleEngineDialect(),
            servingRouting,
            new StartupWait(System.nanoTime() - TimeUnit.SECONDS.toNanos(1)),
            new ProxyMetrics(),
            new DecisionLog("serving", logStream));
    servingPort = UnusedPort.listen(serving::listen);
    relayPort = UnusedPort.listen(serving::listenForPeers);
    applyDesiredState();
    servingLoop
        .submit(() -> servingRouting.desiredState(routing.desiredState().orElseThrow()))
        .sync();
    servedBy("127.0.0.1:" + relayPort);
    addTargetBehindCut("t1", first, "a");
    awaitCut();
  }

  /** Stops the serving VM. */
  @AfterMethod(alwaysRun = true)
  public void stopServingVm() throws Exception {
    servingLoop.submit(serving::close).sync();
    servingGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** Makes the cut VM send its requests to an address in place of a target. */
  void servedBy(String address) throws Exception {
    PeerVm vm = new PeerVm("serving", address, "a");
    loop.submit(() -> proxy.peers().peers(List.of(vm))).sync();
  }

  /** Makes a target known to the serving VM, and to the cut VM by an address that refuses. */
  void addTargetBehindCut(String id, ScriptedTarget target, String dataCentre) throws Exception {
    long now = System.nanoTime();
    TargetStatement real = statement(id, target.address(), dataCentre);
    servingLoop.submit(() -> servingRouting.fleet().recordStatement(real, now)).sync();
    TargetStatement cut = statement(id, "127.0.0.1:" + UnusedPort.find(), dataCentre);
    loop.submit(() -> routing.fleet().recordStatement(cut, now)).sync();
  }

  private static TargetStatement statement(String id, String address, String dataCentre) {
    return new TargetStatement(id, "s", address, dataCentre, 8, Phase.READY, "", null, 1, 1);
  }

  /** Waits until the cut VM's requests are served, over connections that both VMs then keep. */
  private void awaitCut() throws Exception {
    first.script = ProxyTest::identifiedResponse;
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DETECTION_MS);
    String response = "";
    do {
      response = call("POST", "/once/x", "Id: w" + System.nanoTime() + "\r\n", "x");
    } while (status(response) != 200 && System.nanoTime() - end < 0);
    assertEquals(status(response), 200, response + describe());
    first.requests.clear();
    first.carriers.clear();
  }

  /** Returns the targets that the cut VM takes for usable, and those of the serving VM. */
  List<Set<String>> usableTargets() throws Exception {
    return List.of(usableTargets(loop, routing), usableTargets(servingLoop, servingRouting));
  }

  private static Set<String> usableTargets(EventLoop vm, RoutingState state) throws Exception {
    return vm.submit(
            () ->
                state.fleet().ready("s", System.nanoTime()).stream()
                    .map(member -> member.statement().id())
                    .collect(Collectors.toSet()))
        .get();
  }

  /** Returns what both VMs have logged and the target has received. */
  String describe() {
    return "\ncut VM: " + logged() + "\nserving VM: " + servingLogged() + "\n" + first.requests;
  }

  String servingLogged() {
    return servingLogged.toString(StandardCharsets.UTF_8);
  }

  /** Returns a script whose scripts are used one after the other, the last one for all others. */
  void answerInTurn(String... scripts) {
    List<String> left = new ArrayList<>(List.of(scripts));
    first.script = request -> left.size() > 1 ? left.remove(0) : left.get(0);
  }

  /** Sends a POST to a port and returns all bytes up to the end of the connection. */
  static String callAt(int port, String path, String headers, String body) throws IOException {
    try (Socket socket = open(port, path, headers, body)) {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /** Sends a POST to a port and returns the connection, which its VM closes after the response. */
  static Socket open(int port, String path, String headers, String body) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    String request =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  /** Returns the body of a response that has a length. */
  static String body(String response) {
    return response.substring(response.indexOf("\r\n\r\n") + 4);
  }

  /** Asserts that a response is a whole one of the target, or a failure of a VM. */
  static void assertOwnOrLost(String response, String own, String message) {
    if (response.contains("Proof:") || status(response) / 100 == 2) {
      assertEquals(status(response), status(own), message + response);
      assertEquals(body(response), body(own), message);
    }
  }
}
