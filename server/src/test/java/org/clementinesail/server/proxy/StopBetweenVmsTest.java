package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.limits.PlannedStop;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.Test;

/**
 * Tests what callers get while one of two VMs stops as planned and serves, or is served by, the
 * other.
 */
public final class StopBetweenVmsTest extends TwoVmTest {
  private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final String SLOW_STREAM =
      stream(event(1) + event(2) + ScriptedTarget.SILENCE + event(3));

  private void drain(EventLoop of, ProxyServer stopping, long endsInMillis) throws Exception {
    long now = System.nanoTime();
    PlannedStop times = new PlannedStop(now, now + TimeUnit.MILLISECONDS.toNanos(endsInMillis));
    of.submit(() -> stopping.drain(times)).sync();
  }

  private static boolean isIdle(EventLoop of, ProxyServer stopping) throws Exception {
    return of.submit(() -> stopping.stopAcceptingAndCheckIdle(MIN_IDLE_NANOS)).get();
  }

  private static void awaitIdle(EventLoop of, ProxyServer stopping) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONG_TIMEOUT_MS);
    while (!isIdle(of, stopping) && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private void start(String answer) throws Exception {
    cutOff();
    List<Route> routes =
        List.of(
            relayRoute("once", Route.Kind.NON_IDEMPOTENT, true),
            relayRoute("stream", Route.Kind.STREAM, true));
    applyHere(state(2, routes, List.of(), RequestLimits.DEFAULT));
    applyAtPeer(state(2, routes, List.of(), RequestLimits.DEFAULT));
    addTargetOfPeer("t1", first);
    first.script = request -> answer;
    second.script = request -> OK_RESPONSE;
  }

  /** Adds another VM in another data centre, which answers as its targets do. */
  private void addThirdVm(String answer) throws Exception {
    second.script = request -> ofVm(answer);
    knowPeers(peerVm(), new PeerVm("third", second.address(), "b"));
  }

  private Future<String> begin(String path) throws Exception {
    Future<String> answer = callers.submit(() -> call("POST", path, "Id: s1\r\n", "x"));
    awaitRequests(first, 1);
    return answer;
  }

  private static String get(Future<String> answer) throws Exception {
    return answer.get(20, TimeUnit.SECONDS);
  }

  /** The serving VM ends its requests for other VMs before it stops. */
  @Test
  public void streamIsCompleteBeforeTheServingVmStops() throws Exception {
    start(SLOW_STREAM);
    Future<String> answer = begin("/stream/x");
    drain(peerLoop, peer, 5_000);
    awaitIdle(peerLoop, peer);
    peerLoop.submit(peer::close).sync();
    String response = get(answer);
    assertEquals(events(response), List.of("e1", "e2", "e3"), response + bothLogs());
    assertTrue(response.endsWith("0\r\n\r\n"), response + bothLogs());
  }

  /** A stream that the serving VM gives up at the end of its stop goes on at a third VM. */
  @Test
  public void streamCutByTheServingVmGoesOnElsewhere() throws Exception {
    start(stream(event(1) + event(2) + ScriptedTarget.HANG));
    first.script =
        request -> EVENT_STREAM_HEAD + "Content-Length: 99\r\n\r\n" + event(1) + event(2);
    addThirdVm(stream(event(3)));
    Future<String> answer = begin("/stream/x");
    TimeUnit.MILLISECONDS.sleep(100);
    drain(peerLoop, peer, 0);
    peerLoop.submit(peer::endRequests).sync();
    String response = get(answer);
    assertEquals(events(response), List.of("e1", "e2", "e3"), response + bothLogs());
    assertTrue(response.endsWith("0\r\n\r\n"), response + bothLogs());
  }

  /** An order that is at the serving VM at the end of its stop may have run: an error, once. */
  @Test
  public void orderAtTheServingVmGetsAnErrorAtTheEndOfItsStop() throws Exception {
    start(ScriptedTarget.HANG);
    addThirdVm(OK_RESPONSE);
    Future<String> answer = begin("/once/x");
    drain(peerLoop, peer, 0);
    peerLoop.submit(peer::endRequests).sync();
    String response = get(answer);
    assertEquals(status(response), 502, response + bothLogs());
    assertEquals(second.requests.size(), 0);
  }

  /** An order that comes too late for a serving VM that stops is served by a third VM. */
  @Test
  public void orderAfterTheEndOfTheServingVmIsServedElsewhere() throws Exception {
    start(OK_RESPONSE);
    addThirdVm(OK_RESPONSE);
    drain(peerLoop, peer, 0);
    String response = call("POST", "/once/x", "Id: s2\r\n", "x");
    assertEquals(status(response), 200, response + bothLogs());
    awaitIdle(peerLoop, peer);
    String next = call("POST", "/once/x", "Id: s3\r\n", "x");
    assertEquals(status(next), 200, next + bothLogs());
    assertEquals(first.requests.size(), 0);
  }

  /** Requests that are pipelined to the cut VM are answered while the serving VM stops. */
  @Test
  public void pipelinedRequestsAreAnsweredWhileTheServingVmStops() throws Exception {
    start(OK_RESPONSE);
    first.script = request -> request.contains("/stream/") ? SLOW_STREAM : OK_RESPONSE;
    addThirdVm(OK_RESPONSE);
    try (Socket socket = connect()) {
      String last = "Id: p3\r\nConnection: close\r\n";
      write(
          socket,
          request("/stream/x", "Id: p1\r\n")
              + request("/once/x", "Id: p2\r\n")
              + request("/once/x", last));
      awaitRequests(first, 1);
      drain(peerLoop, peer, 2_000);
      callers.submit(
          () -> {
            awaitIdle(peerLoop, peer);
            return true;
          });
      String responses = readAll(socket);
      assertEquals(statuses(responses), List.of("200", "200", "200"), responses + bothLogs());
      assertEquals(events(responses), List.of("e1", "e2", "e3"), responses);
    }
    assertEquals(first.requests.size() + second.requests.size(), 3, bothLogs());
  }

  /** Requests at another VM, and those behind them, are answered while the cut VM stops. */
  @Test
  public void pipelinedRequestsAreAnsweredWhileTheCutVmStops() throws Exception {
    start(OK_RESPONSE);
    first.script = request -> request.contains("/stream/") ? SLOW_STREAM : OK_RESPONSE;
    try (Socket socket = connect()) {
      write(socket, request("/stream/x", "Id: p1\r\n") + request("/once/x", "Id: p2\r\n"));
      awaitRequests(first, 1);
      drain(loop, proxy, 10_000);
      Future<String> answers = callers.submit(() -> readAll(socket));
      awaitIdle(loop, proxy);
      String responses = get(answers);
      assertEquals(statuses(responses), List.of("200", "200"), responses + bothLogs());
      assertEquals(events(responses), List.of("e1", "e2", "e3"), responses);
    }
    assertEquals(first.requests.size(), 2, bothLogs());
  }

  /** At the end of its stop the cut VM answers the order that another VM still works on. */
  @Test
  public void orderAtAnotherVmGetsAStatusAtTheEndOfTheCutVm() throws Exception {
    start(ScriptedTarget.HANG);
    Future<String> answer = begin("/once/x");
    drain(loop, proxy, 0);
    loop.submit(proxy::endRequests).sync();
    assertEquals(status(get(answer)), 504);
    awaitIdle(loop, proxy);
    TimeUnit.MILLISECONDS.sleep(100);
    assertEquals(peerLoop.submit(peer::requestsInProgress).get(), Integer.valueOf(0));
  }
}
