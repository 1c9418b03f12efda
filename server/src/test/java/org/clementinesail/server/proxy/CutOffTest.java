package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a VM without links to targets serves its callers by another VM. The VM under test
 * knows the targets by addresses that refuse connections or do not respond; the other VM knows
 * their real ones.
 */
public final class CutOffTest extends ProxyTest {
  private static final long MAX_DETECTION_MS = 1_500;

  private MultiThreadIoEventLoopGroup peerGroup;
  private EventLoop peerLoop;
  private RoutingState peerRouting;
  private ProxyServer peer;
  private int relayPort;

  /** Starts the other VM. */
  @BeforeMethod
  public void startPeer() throws Exception {
    peerGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    peerLoop = (EventLoop) peerGroup.next();
    peerRouting = new RoutingState(settings(), new Random(2));
    DecisionLog log = new DecisionLog("peer", new PrintStream(PrintStream.nullOutputStream()));
    StartupWait wait = new StartupWait(System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
    peer =
        new ProxyServer(
            peerLoop,
            dialect(),
            new IdleEngineDialect(),
            peerRouting,
            wait,
            new ProxyMetrics(),
            log);
    peer.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    relayPort = UnusedPort.listen(peer::listenForPeers);
    applyDesiredState();
    peerLoop.submit(() -> peerRouting.desiredState(routing.desiredState().orElseThrow())).sync();
    PeerVm vm = new PeerVm("peer", "127.0.0.1:" + relayPort, "a");
    loop.submit(() -> proxy.peers().peers(List.of(vm))).sync();
  }

  /** Stops the other VM. */
  @AfterMethod
  public void stopPeer() throws Exception {
    peerLoop.submit(peer::close).sync();
    peerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private static TargetStatement statement(String id, String address) {
    return new TargetStatement(id, "s", address, "a", 8, Phase.READY, "", null, 1, 1);
  }

  /** Makes a target known to the other VM, and to the VM under test by an unusable address. */
  private void addTargetBehindCut(String id, ScriptedTarget target, String cutAddress)
      throws Exception {
    long now = System.nanoTime();
    TargetStatement real = statement(id, target.address());
    peerLoop.submit(() -> peerRouting.fleet().recordStatement(real, now)).sync();
    TargetStatement cut = statement(id, cutAddress);
    loop.submit(() -> routing.fleet().recordStatement(cut, now)).sync();
  }

  private static String refusingAddress() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static String identifiedRefusal(String request) {
    return identifiedResponse(request)
        .replace("200 OK", "503 Busy")
        .replace("Proof: p", "Not-Started: 1");
  }

  private void cutOffRefusing() throws Exception {
    addTargetBehindCut("t1", first, refusingAddress());
    addTargetBehindCut("t2", second, refusingAddress());
    first.script = ProxyTest::identifiedResponse;
    second.script = ProxyTest::identifiedResponse;
  }

  private String await(String path, int status) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DETECTION_MS);
    String response = "";
    do {
      response = call("POST", path, "Id: w" + System.nanoTime() + "\r\n", "x");
    } while (status(response) != status && System.nanoTime() - end < 0);
    assertEquals(status(response), status, response + logged());
    return response;
  }

  /** Paths of routes of which each kind is served by the other VM. */
  @DataProvider
  public Object[][] paths() {
    return new Object[][] {{"/safe/x"}, {"/once/x"}, {"/lookup/x"}};
  }

  /** Callers of a VM whose targets refuse its connections are served by another VM. */
  @Test(dataProvider = "paths")
  public void callersOfVmThatTargetsRefuseAreServed(String path) throws Exception {
    cutOffRefusing();
    await(path, 200);
    for (int i = 0; i < 20; i++) {
      String response = call("POST", path, "Id: n" + i + "\r\n", "body" + i);
      assertEquals(status(response), 200, response + logged());
      assertTrue(response.endsWith("well"), response);
      assertFalse(response.contains("Relay-"), response);
    }
    String last = first.requests.isEmpty() ? second.requests.get(0) : first.requests.get(0);
    assertFalse(last.contains("Relay-"), last);
  }

  /** Callers of a VM whose connections to targets hang are served by another VM. */
  @Test
  public void callersOfVmWhoseConnectsHangAreServed() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket one = new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort());
        Socket two = new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort())) {
      assertTrue(one.isConnected() && two.isConnected());
      String address = "127.0.0.1:" + full.getLocalPort();
      addTargetBehindCut("t1", first, address);
      first.script = ProxyTest::identifiedResponse;
      await("/once/x", 200);
      assertEquals(status(call("POST", "/once/x", "Id: n1\r\n", "body")), 200);
    }
  }

  /** A payment that ran on a target whose answer is lost behind the other VM runs once. */
  @Test
  public void paymentRunsOnceIfItsAnswerIsLost() throws Exception {
    cutOffRefusing();
    await("/once/x", 200);
    first.requests.clear();
    second.requests.clear();
    first.script = request -> ScriptedTarget.RESET;
    second.script = request -> ScriptedTarget.RESET;
    assertEquals(status(call("POST", "/once/x", "Id: p1\r\n", "pay")), 502);
    assertEquals(first.requests.size() + second.requests.size(), 1);
  }

  /** A payment that the other VM got before it was lost may have run, so it is not repeated. */
  @Test
  public void paymentIsNotRepeatedAfterTheOtherVmIsLost() throws Exception {
    cutOffRefusing();
    await("/once/x", 200);
    try (ScriptedTarget lost = new ScriptedTarget()) {
      lost.script = request -> ScriptedTarget.RESET;
      PeerVm vm = new PeerVm("lost", lost.address(), "a");
      loop.submit(() -> proxy.peers().peers(List.of(vm))).sync();
      assertEquals(status(call("POST", "/once/x", "Id: p1\r\n", "pay")), 502);
      assertEquals(lost.requests.size(), 1);
    }
  }

  /** Callers learn that a request has not run if the other VM is cut off, too. */
  @Test
  public void requestIsRefusedIfTheOtherVmIsCutOffToo() throws Exception {
    addTargetBehindCut("t1", first, refusingAddress());
    peerLoop.submit(() -> peerRouting.fleet().recordDeregistration("t1", 0)).sync();
    TargetStatement cut = statement("t2", refusingAddress());
    peerLoop.submit(() -> peerRouting.fleet().recordStatement(cut, System.nanoTime())).sync();
    String response = await("/once/x", 503);
    assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after"), response);
  }

  /** A lookup that the other VM has tried as often as its route allows is not tried by a third. */
  @Test
  public void attemptsOfTheRouteHoldOverSeveralVms() throws Exception {
    cutOffRefusing();
    // Responses without an id, so that no connection is kept that a reset would make stale.
    first.script = request -> OK_RESPONSE;
    second.script = request -> OK_RESPONSE;
    await("/safe/x", 200);
    PeerVm one = new PeerVm("one", "127.0.0.1:" + relayPort, "a");
    PeerVm two = new PeerVm("two", "127.0.0.1:" + relayPort, "a");
    loop.submit(() -> proxy.peers().peers(List.of(one, two))).sync();
    first.requests.clear();
    second.requests.clear();
    first.script = request -> ScriptedTarget.RESET;
    second.script = request -> ScriptedTarget.RESET;
    assertEquals(status(call("GET", "/safe/x", "Id: a1\r\n", "")), 502, logged());
    assertEquals(first.requests.size() + second.requests.size(), 2, logged());
  }

  /** If the other VM finds no room, a third one is not asked, and callers learn when to come. */
  @Test
  public void refusalOfTheOtherVmIsPassedOn() throws Exception {
    cutOffRefusing();
    await("/once/x", 200);
    first.script = CutOffTest::identifiedRefusal;
    second.script = CutOffTest::identifiedRefusal;
    try (ScriptedTarget third = new ScriptedTarget()) {
      PeerVm vm = new PeerVm("peer", "127.0.0.1:" + relayPort, "a");
      PeerVm far = new PeerVm("third", third.address(), "b");
      loop.submit(() -> proxy.peers().peers(List.of(vm, far))).sync();
      String response = call("POST", "/once/x", "Id: r9\r\n", "pay");
      assertEquals(status(response), 503, response + logged());
      Matcher delay = Pattern.compile("(?i)retry-after: ([0-9.]+)").matcher(response);
      assertTrue(delay.find() && Double.parseDouble(delay.group(1)) > 1, response);
      assertTrue(third.requests.isEmpty());
    }
  }

  /** Targets are used again once they accept connections. */
  @Test
  public void targetsAreUsedAgainAfterTheCut() throws Exception {
    cutOffRefusing();
    await("/once/x", 200);
    TargetStatement back =
        new TargetStatement("t1", "s", first.address(), "a", 8, Phase.READY, "", null, 2, 1);
    TargetStatement back2 =
        new TargetStatement("t2", "s", second.address(), "a", 8, Phase.READY, "", null, 2, 1);
    loop.submit(() -> routing.fleet().recordStatement(back, System.nanoTime())).sync();
    loop.submit(() -> routing.fleet().recordStatement(back2, System.nanoTime())).sync();
    loop.submit(() -> proxy.peers().checks().start(loop, () -> {})).sync();
    TimeUnit.MILLISECONDS.sleep(1_500);
    peerLoop.submit(peer::close).sync();
    assertEquals(status(call("POST", "/once/x", "Id: p2\r\n", "pay")), 200, logged());
  }

  private String endBoth() {
    try {
      first.stopListening();
      second.stopListening();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return ScriptedTarget.RESET;
  }

  /** A VM without links must not blame the parts of its requests for the end of targets. */
  @Test
  public void cutVmBlamesNoRequests() throws Exception {
    startTargets(OK_RESPONSE);
    AtomicInteger reports = new AtomicInteger();
    proxy.crashReports().sender(records -> reports.addAndGet(records.size()));
    first.script = request -> endBoth();
    second.script = first.script;
    for (int i = 0; i < 3; i++) {
      call("POST", "/once/x", "Id: b" + i + "\r\nParts: p\r\n", "x");
      TimeUnit.MILLISECONDS.sleep(100);
    }
    assertEquals(reports.get(), 0, logged());
  }

  /** A relayed request is not passed on to a third VM, and its headers are those of a caller. */
  @Test
  public void headersBetweenVmsFromCallersAreNotObeyed() throws Exception {
    startTargets(REFUSAL);
    second.script = ProxyTest::identifiedResponse;
    String response =
        call(
            "POST",
            "/safe/x",
            "Id: h1\r\nRelay-Earlier-Runs: 9\r\nRelay-Outcome: not-run\r\n",
            "x");
    assertEquals(status(response), 200);
  }

  /** The other VM takes the time left and the request id from the VM that it serves for. */
  @Test
  public void otherVmGetsTheTimeLeft() throws Exception {
    cutOffRefusing();
    await("/once/x", 200);
    first.requests.clear();
    second.requests.clear();
    call("POST", "/once/x", "Id: t1\r\nTimeout-Ms: 700\r\n", "x");
    String seen = first.requests.isEmpty() ? second.requests.get(0) : first.requests.get(0);
    Matcher left = Pattern.compile("(?i)timeout-ms: ([0-9]+)").matcher(seen);
    assertTrue(left.find(), seen);
    assertTrue(Integer.parseInt(left.group(1)) <= 700, seen);
    assertTrue(seen.contains("Id: t1"), seen);
  }
}
