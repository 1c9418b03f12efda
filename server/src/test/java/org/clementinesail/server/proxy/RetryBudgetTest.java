package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests which attempts of a request need the budget of retries, with a budget of two. */
public final class RetryBudgetTest extends ProxyTest {
  /** Sockets that hold a port on which nothing ever listens. */
  private final List<Socket> reserved = new ArrayList<>();

  @Override
  RoutingState.Settings settings() {
    return new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0, 4);
  }

  private void addTargetsThatDoNotListen(int first, int count) throws Exception {
    for (int i = first; i < first + count; i++) {
      Socket neverListens = new Socket();
      reserved.add(neverListens);
      neverListens.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      addTarget("closed" + i, "127.0.0.1:" + neverListens.getLocalPort(), "a");
    }
  }

  /** Gives the ports back that refused connections. */
  @AfterMethod(alwaysRun = true)
  public void releasePorts() throws Exception {
    for (Socket socket : reserved) {
      socket.close();
    }
    reserved.clear();
  }

  /** A target that refuses the connection has got nothing, so that the next one is no retry. */
  @Test
  public void refusedConnectionsNeedNoRetries() throws Exception {
    startTargets(OK_RESPONSE);
    second.script = request -> OK_RESPONSE;
    for (int i = 0; i < 5; i++) {
      addTargetsThatDoNotListen(i, 1);
      for (int k = 0; k < 6; k++) {
        assertEquals(status(call("POST", "/once/x", "", "pay")), 200, "round " + i + logged());
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
