package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests which attempts of a request need the budget of retries, with a budget of two. */
public final class RetryBudgetTest extends ProxyTest {
  @Override
  RoutingState.Settings settings() {
    return new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0, 4);
  }

  private void addTargetsThatDoNotListen(int first, int count) throws Exception {
    for (int i = first; i < first + count; i++) {
      ScriptedTarget closed = new ScriptedTarget();
      addTarget("closed" + i, closed, "a");
      closed.close();
    }
  }

  /** A target that refuses the connection has got nothing, so that the next one is no retry. */
  @Test
  public void refusedConnectionsNeedNoRetries() throws Exception {
    startTargets(OK_RESPONSE);
    second.script = request -> OK_RESPONSE;
    for (int i = 0; i < 5; i++) {
      addTargetsThatDoNotListen(i, 1);
      for (int k = 0; k < 6; k++) {
        assertEquals(status(call("POST", "/once/x", "", "pay")), 200, "round " + i);
      }
    }
  }

  /** A retry that reached no target is given back. */
  @Test
  public void retryThatReachedNoTargetIsGivenBack() throws Exception {
    startTargets(ScriptedTarget.RESET);
    second.script = request -> ScriptedTarget.RESET;
    for (int i = 0; i < 2; i++) {
      addTargetsThatDoNotListen(i, 1);
      assertEquals(status(call("GET", "/lookup/x", "", "")), 502);
    }
    assertEquals(first.requests.size() + second.requests.size(), 4);
    assertEquals(status(call("GET", "/lookup/x", "", "")), 502);
    assertEquals(first.requests.size() + second.requests.size(), 5);
  }
}
