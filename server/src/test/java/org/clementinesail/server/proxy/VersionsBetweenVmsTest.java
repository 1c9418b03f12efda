package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Workspace;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests that one VM serves for another while the versions of the two change. */
public final class VersionsBetweenVmsTest extends TwoVmTest {
  private static final int CALLERS = 6;
  private static final int REQUESTS_EACH = 60;
  private static final int PAUSES = 5;
  private static final int SHORT_TIMEOUT_MS = 200;
  private static final String KEY = "Key: secret-key\r\n";

  /** Which of the two VMs gets a version. */
  public enum Where {
    CUT,
    SERVING,
    BOTH
  }

  /** What a version drops. */
  public enum Dropped {
    NOTHING,
    ROUTES,
    KEY,
    SERVICE
  }

  private static List<Route> routes(boolean keyless) {
    return List.of(
        relayRoute("safe", Route.Kind.IDEMPOTENT, keyless),
        relayRoute("once", Route.Kind.NON_IDEMPOTENT, keyless),
        relayRoute("stream", Route.Kind.STREAM, keyless));
  }

  private static DesiredState version(long number, Dropped dropped) {
    List<Route> routes =
        switch (dropped) {
          case ROUTES -> List.of(relayRoute("other", Route.Kind.IDEMPOTENT, false));
          case SERVICE -> List.of();
          case NOTHING, KEY -> routes(false);
        };
    List<Workspace> workspaces =
        dropped == Dropped.KEY
            ? List.of(new Workspace("acme", List.of("other-key"), -1))
            : List.of(WORKSPACE);
    return state(number, routes, workspaces, RequestLimits.DEFAULT);
  }

  private void apply(Where where, DesiredState state) throws Exception {
    if (where != Where.SERVING) {
      applyHere(state);
    }
    if (where != Where.CUT) {
      applyAtPeer(state);
    }
  }

  private void startBoth(String answer) throws Exception {
    cutOff();
    apply(Where.BOTH, version(2, Dropped.NOTHING));
    addTargetOfPeer("t1", first);
    first.script = request -> answer.replace("Proof", idLine(request) + "Proof");
  }

  private static String idLine(String request) {
    int start = request.indexOf("Id: ");
    return request.substring(start, request.indexOf("\r\n", start) + 2);
  }

  /** Each kind of route, each VM and each drop. */
  @DataProvider
  public Object[][] versions() {
    List<Object[]> cases = new ArrayList<>();
    for (String path : List.of("/safe/x", "/once/x", "/stream/x")) {
      for (Where where : Where.values()) {
        for (Dropped dropped : List.of(Dropped.ROUTES, Dropped.KEY, Dropped.SERVICE)) {
          cases.add(new Object[] {path, where, dropped});
        }
      }
    }
    return cases.toArray(new Object[0][]);
  }

  /** A request that is at the other VM when a version drops what it needs is answered, once. */
  @Test(dataProvider = "versions")
  public void versionDuringARelayedRequestEndsNoAnswer(String path, Where where, Dropped dropped)
      throws Exception {
    boolean isStream = path.contains("stream");
    startBoth(
        isStream
            ? stream(event(1) + ScriptedTarget.PAUSE.repeat(PAUSES) + event(2))
            : ScriptedTarget.PAUSE.repeat(PAUSES) + OK_RESPONSE);
    Future<String> answer = callers.submit(() -> call("POST", path, "Id: v1\r\n" + KEY, "x"));
    awaitRequests(first, 1);
    apply(where, version(3, dropped));
    String response = answer.get(20, TimeUnit.SECONDS);
    assertEquals(status(response), 200, response + bothLogs());
    assertTrue(response.endsWith(isStream ? "0\r\n\r\n" : "well"), response + bothLogs());
    assertEquals(first.requests.size(), 1, bothLogs());
  }

  /**
   * A request that only one of the two VMs would take is refused, runs nowhere, and is served
   * later.
   */
  @Test(dataProvider = "versions")
  public void requestThatOneVmDoesNotKnowIsRefused(String path, Where where, Dropped dropped)
      throws Exception {
    startBoth(path.contains("stream") ? stream(event(1)) : OK_RESPONSE);
    apply(where, version(3, dropped));
    String refused = call("POST", path, "Id: v2\r\n" + KEY, "x");
    int expected = dropped == Dropped.KEY ? 401 : 404;
    assertEquals(status(refused), where == Where.SERVING ? 503 : expected, refused + bothLogs());
    assertEquals(first.requests.size(), 0, bothLogs());
    assertEquals(
        refused.toLowerCase(Locale.ROOT).contains("retry-after"), where == Where.SERVING, refused);
    apply(Where.BOTH, version(4, Dropped.NOTHING));
    if (where == Where.SERVING) {
      TimeUnit.MILLISECONDS.sleep(1_050);
    }
    String served = call("POST", path, "Id: v3\r\n" + KEY, "x");
    assertEquals(status(served), 200, served + bothLogs());
  }

  /** An order that has run at the other VM, which gives up sooner, is not sent to a third one. */
  @Test
  public void shorterTimeoutAtTheOtherVmRepeatsNoOrder() throws Exception {
    startBoth(ScriptedTarget.HANG);
    second.script = request -> OK_RESPONSE;
    knowPeers(peerVm(), new PeerVm("third", second.address(), "b"));
    Route shorter = relayRoute("once", Route.Kind.NON_IDEMPOTENT, false, SHORT_TIMEOUT_MS);
    applyAtPeer(state(3, List.of(shorter), List.of(WORKSPACE), RequestLimits.DEFAULT));
    String response = call("POST", "/once/x", "Id: t1\r\n" + KEY, "x");
    assertEquals(status(response), 502, response + bothLogs());
    assertEquals(first.requests.size() + second.requests.size(), 1, bothLogs());
  }

  /** A route that the other VM does not know yet keeps no other requests from it. */
  @Test
  public void unknownRouteKeepsNoOtherRequestsFromTheOtherVm() throws Exception {
    startBoth(OK_RESPONSE);
    List<Route> more = new ArrayList<>(routes(false));
    more.add(relayRoute("new", Route.Kind.IDEMPOTENT, false));
    applyHere(state(3, more, List.of(WORKSPACE), RequestLimits.DEFAULT));
    for (int i = 0; i < 5; i++) {
      assertEquals(status(call("POST", "/new/x", "Id: n" + i + "\r\n" + KEY, "x")), 503);
      String served = call("POST", "/once/x", "Id: o" + i + "\r\n" + KEY, "x");
      assertEquals(status(served), 200, served + bothLogs());
    }
  }

  private List<String> callOften(int caller) throws Exception {
    List<String> unanswered = new ArrayList<>();
    String[] paths = {"/safe/x", "/once/x", "/stream/x"};
    for (int i = 0; i < REQUESTS_EACH; i++) {
      String id = "c" + caller + "-" + i;
      String response = call("POST", paths[i % 3], "Id: " + id + "\r\n" + KEY, "x");
      boolean whole = response.endsWith("0\r\n\r\n") || response.matches("(?s).*\r\n\r\n(well)?");
      if (!whole || status(response) == 0) {
        unanswered.add(id + ": " + response);
      }
    }
    return unanswered;
  }

  /** While versions come one after the other at both VMs, each request is answered or refused. */
  @Test
  public void versionsInSeriesLeaveNoRequestWithoutAnswer() throws Exception {
    startBoth(OK_RESPONSE);
    addTargetOfPeer("t2", second);
    String pausing = stream(event(1) + ScriptedTarget.PAUSE + event(2));
    first.script =
        request ->
            (request.contains("/stream/") ? pausing : OK_RESPONSE)
                .replace("Proof", idLine(request) + "Proof");
    second.script = request -> ScriptedTarget.PAUSE + first.script.apply(request);
    AtomicBoolean done = new AtomicBoolean();
    Future<?> operator =
        callers.submit(
            () -> {
              for (long number = 3; !done.get(); number++) {
                Dropped dropped = Dropped.values()[(int) (number % Dropped.values().length)];
                apply(Where.values()[(int) (number % 3)], version(number, dropped));
                TimeUnit.MILLISECONDS.sleep(7);
              }
              return true;
            });
    List<Future<List<String>>> results = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      int number = caller;
      results.add(callers.submit(() -> callOften(number)));
    }
    List<String> unanswered = new ArrayList<>();
    for (Future<List<String>> result : results) {
      unanswered.addAll(result.get(60, TimeUnit.SECONDS));
    }
    done.set(true);
    operator.get(5, TimeUnit.SECONDS);
    assertEquals(unanswered, List.of(), bothLogs());
  }
}
