package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.Test;

/** Tests kept connections between two VMs while a version lowers the idle limit of callers. */
public final class KeptRelayConnectionTest extends TwoVmTest {
  /** Longest idle time after which a VM uses a connection to another VM again. */
  private static final int LONGEST_REUSE_MS = 3_300;

  private static final long IDLE_LIMIT_MS = 100;
  private static final int CALLERS = 8;
  private static final int ORDERS_EACH = 12;
  private static final int LONGEST_PAUSE_MS = 900;

  private void lowerIdleLimit(long version) throws Exception {
    RequestLimits limits =
        new RequestLimits(
            RequestLimits.DEFAULT.maxHeaderBytes(),
            RequestLimits.DEFAULT.maxBodyBytes(),
            RequestLimits.DEFAULT.headerTimeoutMillis(),
            IDLE_LIMIT_MS);
    List<Route> routes = List.of(relayRoute("once", Route.Kind.NON_IDEMPOTENT, true));
    applyHere(state(version, routes, List.of(), limits));
    applyAtPeer(state(version, routes, List.of(), limits));
  }

  private void startWithLowLimit() throws Exception {
    cutOff();
    addTargetOfPeer("t1", first);
    first.script = ProxyTest::identifiedResponse;
    lowerIdleLimit(2);
  }

  /** The serving VM closes no connection that the other one may still use. */
  @Test
  public void idleLimitOfCallersEndsNoConnectionBetweenVms() throws Exception {
    startWithLowLimit();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), relayPort)) {
      write(socket, request("/once/x", "Id: k1\r\n"));
      socket.setSoTimeout(LONGEST_REUSE_MS);
      byte[] answer = socket.getInputStream().readNBytes(OK_RESPONSE.length() / 2);
      assertEquals(status(new String(answer, StandardCharsets.ISO_8859_1)), 200);
      while (socket.getInputStream().available() > 0) {
        socket.getInputStream().read();
      }
      assertEquals(socket.getInputStream().read(), -2, "closed");
    } catch (SocketTimeoutException e) {
      // Still open, as it should be.
      assertTrue(e.getMessage().contains("timed out"), e.getMessage());
    }
  }

  private List<String> sendOrders(int caller) throws Exception {
    Random pauses = new Random(caller);
    List<String> failed = new ArrayList<>();
    for (int i = 0; i < ORDERS_EACH; i++) {
      TimeUnit.MILLISECONDS.sleep(pauses.nextInt(LONGEST_PAUSE_MS));
      String id = "o" + caller + "-" + i;
      String response = call("POST", "/once/x", "Id: " + id + "\r\n", "x");
      if (status(response) != 200) {
        failed.add(id + ": " + response);
      }
    }
    return failed;
  }

  /** Orders that cross a close between the VMs are answered and run once. */
  @Test
  public void ordersBesideClosesOfKeptConnectionsRunOnce() throws Exception {
    startWithLowLimit();
    try (SlowLink link = new SlowLink(relayPort)) {
      knowPeers(new PeerVm("peer", link.address(), "a"));
      List<Future<List<String>>> results = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        int number = caller;
        results.add(callers.submit(() -> sendOrders(number)));
      }
      List<String> failed = new ArrayList<>();
      for (Future<List<String>> result : results) {
        failed.addAll(result.get(60, TimeUnit.SECONDS));
      }
      assertEquals(failed, List.of(), bothLogs());
      assertEquals(first.requests.size(), CALLERS * ORDERS_EACH);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
