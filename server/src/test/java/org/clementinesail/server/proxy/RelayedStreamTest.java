package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.ratelimits.Permits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams under way that a VM has continued by another VM, beside versions. */
public final class RelayedStreamTest extends TwoVmTest {
  private static final String LIMITED =
      OK_RESPONSE.replaceFirst("\r\n", "\r\nLimit: 0.1\r\n").replace("well", "none");

  private void addOwnTarget(String id, ScriptedTarget target) throws Exception {
    TargetStatement statement =
        new TargetStatement(id, "s", target.address(), "a", 8, Phase.READY, "", null, 1, 1);
    loop.submit(() -> routing.fleet().recordStatement(statement, System.nanoTime())).sync();
  }

  /** Starts a stream at a target of this VM whose port refuses further connections. */
  private Future<String> beginAtTargetThatRefusesConnections(String script) throws Exception {
    addOwnTarget("t1", first);
    first.script = request -> script;
    Future<String> answer = callers.submit(() -> call("POST", "/stream3/x", "Id: r1\r\n", "x"));
    awaitRequests(first, 1);
    first.stopListening();
    return answer;
  }

  private static void assertWhole(Future<String> answer, String logs) throws Exception {
    String response = answer.get(20, TimeUnit.SECONDS);
    assertEquals(events(response), List.of("e1", "e2", "e3"), response + logs);
    assertTrue(response.endsWith("0\r\n\r\n"), response + logs);
  }

  /** Answers of targets behind the other VM with which it cannot serve a request. */
  @DataProvider
  public Object[][] failures() {
    return new Object[][] {
      {ScriptedTarget.RESET}, {ScriptedTarget.CLOSE}, {REFUSAL}, {ScriptedTarget.HANG}
    };
  }

  /** A silent target of a cut-off VM goes on: the other VM's failure ends no stream of it. */
  @Test(dataProvider = "failures")
  public void failureOfTheOtherVmEndsNoStreamThatGoesOnHere(String answer) throws Exception {
    addTargetOfPeer("t2", second);
    second.script = request -> answer;
    String script = stream(event(1) + event(2) + ScriptedTarget.SILENCE + event(3));
    Future<String> response = beginAtTargetThatRefusesConnections(script);
    assertWhole(response, bothLogs());
  }

  /** The same while versions without the route and the service come at both VMs. */
  @Test(dataProvider = "failures")
  public void versionsBesideASilentTargetEndNoStream(String answer) throws Exception {
    addTargetOfPeer("t2", second);
    second.script = request -> answer;
    String script = stream(event(1) + event(2) + ScriptedTarget.SILENCE + event(3));
    Future<String> response = beginAtTargetThatRefusesConnections(script);
    for (long number = 2; number < 30; number++) {
      List<Route> routes =
          number % 2 == 0 ? List.of() : List.of(relayRoute("stream3", Route.Kind.STREAM, true));
      applyBoth(number, routes);
      TimeUnit.MILLISECONDS.sleep(30);
    }
    assertWhole(response, bothLogs());
  }

  /** Whether versions drop the route and the service meanwhile. */
  @DataProvider
  public Object[][] versions() {
    return new Object[][] {{false}, {true}};
  }

  private void applyBoth(long number, List<Route> routes) throws Exception {
    applyHere(state(number, routes, List.of(), RequestLimits.DEFAULT));
    applyAtPeer(state(number, routes, List.of(), RequestLimits.DEFAULT));
  }

  /** A stream under way waits, as at one VM, until the other VM finds room for the rest of it. */
  @Test(dataProvider = "versions")
  public void streamUnderWayWaitsForRoomAtTheOtherVm(boolean versions) throws Exception {
    addTargetOfPeer("t2", second);
    second.script = request -> LIMITED;
    peerLoop.submit(() -> peer.rateLimitReports().receiveGrants(List.of())).sync();
    cutOff();
    call("GET", "/safe/x", "Id: l1\r\n", "");
    call("GET", "/safe/x", "Id: l2\r\n", "");
    second.script = request -> stream(event(3));
    loop.submit(() -> proxy.peers().checks().reachability().recordCheck("s", 3, 3, 0)).sync();
    addOwnTarget("t1", first);
    first.script =
        request ->
            EVENT_STREAM_HEAD
                + "Content-Length: 99\r\n\r\n"
                + event(1)
                + event(2)
                + ScriptedTarget.SILENCE
                + ScriptedTarget.RESET;
    Future<String> answer = callers.submit(() -> call("POST", "/stream3/x", "Id: r1\r\n", "x"));
    awaitRequests(first, 1);
    first.stopListening();
    cutOff();
    TimeUnit.MILLISECONDS.sleep(ScriptedTarget.SILENCE_MS);
    if (versions) {
      applyBoth(2, List.of());
    }
    TimeUnit.MILLISECONDS.sleep(600);
    if (versions) {
      applyBoth(3, List.of(relayRoute("stream3", Route.Kind.STREAM, true)));
    }
    Permits.Grant grant = new Permits.Grant(1, "t2", 1, 5);
    peerLoop.submit(() -> peer.rateLimitReports().receiveGrants(List.of(grant))).sync();
    assertWhole(answer, bothLogs());
  }

  /** A stream that waits for a permit of a limit goes on, whatever versions come meanwhile. */
  @Test
  public void streamThatWaitsForAPermitOutlivesVersions() throws Exception {
    addOwnTarget("t2", second);
    second.script = request -> LIMITED;
    loop.submit(() -> proxy.rateLimitReports().receiveGrants(List.of())).sync();
    call("GET", "/safe/x", "Id: l1\r\n", "");
    second.script = request -> stream(event(3));
    String broken = EVENT_STREAM_HEAD + "Content-Length: 99\r\n\r\n" + event(1) + event(2);
    addOwnTarget("t1", first);
    first.script = request -> broken + ScriptedTarget.PAUSE + ScriptedTarget.RESET;
    Future<String> answer = callers.submit(() -> call("POST", "/stream3/x", "Id: r1\r\n", "x"));
    awaitRequests(first, 1);
    loop.submit(() -> routing.fleet().recordDeregistration("t1", 0)).sync();
    for (long number = 2; number < 20; number++) {
      applyHere(state(number, List.of(), List.of(), RequestLimits.DEFAULT));
      TimeUnit.MILLISECONDS.sleep(30);
    }
    Permits.Grant grant = new Permits.Grant(1, "t2", 1, 5);
    loop.submit(() -> proxy.rateLimitReports().receiveGrants(List.of(grant))).sync();
    assertWhole(answer, bothLogs());
  }
}
