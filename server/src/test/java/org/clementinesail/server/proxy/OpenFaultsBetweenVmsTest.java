package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.Test;

/** Faults between VMs that are known and not mended; each is listed in KNOWN-RED.txt. */
public final class OpenFaultsBetweenVmsTest extends TwoVmTest {
  private static final String UNKNOWN =
      "HTTP/1.1 502 Bad Gateway\r\nRelay-Outcome: unknown\r\nContent-Length: 0\r\n\r\n";
  private static final String NOT_RUN =
      UNKNOWN
          .replace("502 Bad Gateway", "503 Busy")
          .replace("unknown", "not-run\r\nRetry-After: 0.05");

  /** A stream that has begun goes on at a third VM after a second one could not serve it. */
  @Test
  public void begunStreamIsCutByTheFailureOfAnotherVm() throws Exception {
    cutOff();
    addTargetOfPeer("t1", first);
    AtomicInteger calls = new AtomicInteger();
    first.script =
        request ->
            EVENT_STREAM_HEAD + "Content-Length: 99\r\n\r\n" + event(1) + ScriptedTarget.HANG;
    second.script = request -> calls.getAndIncrement() == 0 ? UNKNOWN : ofVm(stream(event(2)));
    knowPeers(peerVm());
    Future<String> answer =
        callers.submit(() -> call("POST", "/stream/x", "Id: s1\r\nTimeout-Ms: 2800\r\n", "x"));
    awaitRequests(first, 1);
    TimeUnit.MILLISECONDS.sleep(100);
    knowPeers(
        new PeerVm("second", second.address(), "a"), new PeerVm("third", second.address(), "b"));
    peerLoop.submit(peer::close).sync();
    String whole = answer.get(20, TimeUnit.SECONDS);
    assertEquals(events(whole), List.of("e1", "e2"), whole + bothLogs());
  }

  /** A VM that reaches a service but not another one serves the first one on. */
  @Test
  public void deadServiceAtTheServingVmIsTakenForAFreeze() throws Exception {
    cutOff();
    addTargetOfPeer("t1", first);
    first.script =
        request ->
            request.contains("/once/")
                ? identifiedResponse(request)
                : ScriptedTarget.SILENCE + identifiedResponse(request);
    peerLoop.submit(() -> peer.peers().checks().reachability().presumeCutOff("other")).sync();
    Future<String> slow =
        callers.submit(() -> call("POST", "/lookup/x", "Id: a1\r\nTimeout-Ms: 2500\r\n", "x"));
    awaitRequests(first, 1);
    TimeUnit.MILLISECONDS.sleep(900);
    String order = call("POST", "/once/x", "Id: a2\r\n", "x");
    assertEquals(status(order), 200, order + bothLogs());
    assertEquals(status(slow.get(20, TimeUnit.SECONDS)), 200, bothLogs());
  }

  /** A request at a frozen VM is offered again to a VM that refused it once. */
  @Test
  public void requestAtAFrozenVmIsOfferedOnlyOnce() throws Exception {
    cutOff();
    addTargetOfPeer("t1", first);
    first.script = request -> ScriptedTarget.HANG;
    AtomicInteger calls = new AtomicInteger();
    second.script = request -> calls.getAndIncrement() == 0 ? NOT_RUN : ofVm(stream(event(1)));
    knowPeers(peerVm(), new PeerVm("third", second.address(), "b"));
    Future<String> answer =
        callers.submit(() -> call("POST", "/stream/x", "Id: s2\r\nTimeout-Ms: 2900\r\n", "x"));
    awaitRequests(first, 1);
    CountDownLatch thawed = new CountDownLatch(1);
    peerLoop.execute(() -> Uninterruptibles.awaitUninterruptibly(thawed));
    try {
      String whole = answer.get(20, TimeUnit.SECONDS);
      assertEquals(events(whole), List.of("e1"), whole + logged());
    } finally {
      thawed.countDown();
    }
  }

  /** A body limit that only the serving VM's version has ends no order with an unknown outcome. */
  @Test
  public void lowerBodyLimitAtTheServingVmAnswersUnknown() throws Exception {
    cutOff();
    List<Route> routes = List.of(relayRoute("once", Route.Kind.NON_IDEMPOTENT, true));
    applyHere(state(2, routes, List.of(WORKSPACE), RequestLimits.DEFAULT));
    RequestLimits low = new RequestLimits(16_384, 100, 3_000, 15_000);
    applyAtPeer(state(3, routes, List.of(WORKSPACE), low));
    addTargetOfPeer("t1", first);
    first.script = ProxyTest::identifiedResponse;
    second.script = request -> ofVm(identifiedResponse(request));
    knowPeers(peerVm());
    assertEquals(status(call("POST", "/once/x", "Id: b1\r\n", "x")), 200, bothLogs());
    knowPeers(peerVm(), new PeerVm("third", second.address(), "b"));
    String large = call("POST", "/once/x", "Id: b2\r\n", "x".repeat(1_000));
    assertEquals(first.requests.size(), 1, bothLogs());
    assertTrue(status(large) != 502 && status(large) != 413, large + bothLogs());
  }

  /** A question for a sign of life behind a request is answered after it. */
  @Test
  public void signOfLifeOvertakesAnAnswer() throws Exception {
    addTargetOfPeer("t1", first);
    first.script = request -> ScriptedTarget.PAUSE + identifiedResponse(request);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), relayPort)) {
      socket.setSoTimeout(4_000);
      write(
          socket,
          request("/once/x", "Id: g1\r\n")
              + "OPTIONS * HTTP/1.1\r\nHost: vm\r\nRelay-Alive: 1\r\n\r\n"
              + request("/once/x", "Id: g2\r\nConnection: close\r\n"));
      String all = readAll(socket);
      int sign = all.indexOf("content-length: 0");
      assertTrue(sign < 0 || all.indexOf("well") < sign, all);
    }
  }
}
