package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests on how many targets one request runs when kept connections are reset. */
public final class RetryLimitTest extends ProxyTest {
  private static final int TARGETS = 5;

  /** Paths of repeatable routes, and how many targets their requests may run on. */
  @DataProvider
  public Object[][] limits() {
    return new Object[][] {{"/single/x", 1}, {"/lookup/x", 2}, {"/stream3/x", 3}};
  }

  /** A reset of a kept connection is no dead target, so the limit of the route holds. */
  @Test(dataProvider = "limits")
  public void resetsOfKeptConnectionsAddNoTargets(String path, int limit) throws Exception {
    applyDesiredState();
    List<ScriptedTarget> targets = new ArrayList<>();
    try {
      for (int i = 0; i < TARGETS; i++) {
        ScriptedTarget target = new ScriptedTarget();
        target.script = ProxyTest::identifiedResponse;
        targets.add(target);
        addTarget("n" + i, target, "a");
      }
      for (int i = 0; targets.stream().anyMatch(target -> target.requests.isEmpty()); i++) {
        assertEquals(status(call("GET", "/safe/x", "Id: first" + i + "\r\n", "")), 200);
      }
      targets.forEach(
          target -> {
            target.requests.clear();
            target.script = request -> ScriptedTarget.RESET;
          });
      assertEquals(status(call("GET", path, "", "")), 502);
      List<Integer> arrivals = targets.stream().map(target -> target.requests.size()).toList();
      long ran = arrivals.stream().filter(count -> count > 0).count();
      assertTrue(ran <= limit, "arrivals by target: " + arrivals);
    } finally {
      for (ScriptedTarget target : targets) {
        target.close();
      }
    }
  }

  /** After a stale connection the same target gets the request again, on a new connection. */
  @Test
  public void staleConnectionIsReplacedToTheSameTarget() throws Exception {
    startTargets(OK_RESPONSE);
    AtomicInteger count = new AtomicInteger();
    first.script =
        request ->
            count.incrementAndGet() == 2 ? ScriptedTarget.RESET : identifiedResponse(request);
    assertEquals(status(call("GET", "/single/x", "Id: r0\r\n", "")), 200);
    assertEquals(status(call("GET", "/single/x", "", "")), 200);
    assertEquals(first.requests.size(), 3);
    assertEquals(second.requests.size(), 0);
  }

  /** An unrepeatable request is not sent again after a reset of a kept connection. */
  @Test
  public void unrepeatableRequestIsSentOnceOnAStaleConnection() throws Exception {
    startTargets(OK_RESPONSE);
    AtomicInteger count = new AtomicInteger();
    first.script =
        request ->
            count.incrementAndGet() == 2 ? ScriptedTarget.RESET : identifiedResponse(request);
    assertEquals(status(call("POST", "/once/x", "Id: r0\r\n", "pay")), 200);
    assertEquals(status(call("POST", "/once/x", "", "pay")), 502);
    assertEquals(first.requests.size(), 2);
    assertEquals(second.requests.size(), 0);
  }
}
