package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import org.clementinesail.core.desired.RequestLimits;
import org.testng.annotations.Test;

/** Tests that another VM takes each head that a VM has taken from its caller. */
public final class RelayedHeadTest extends TwoVmTest {
  /** The other headers of the request and what remains for the line ends. */
  private static final int OTHER_BYTES = 64;

  /** A request with the largest head is served by another VM, too. */
  @Test
  public void largestHeadIsServedByAnotherVm() throws Exception {
    cutOff();
    addTargetOfPeer("t1", first);
    first.script = ProxyTest::identifiedResponse;
    int length = RequestLimits.DEFAULT.maxHeaderBytes() - OTHER_BYTES;
    String headers = "Id: h1\r\nLong: " + "x".repeat(length) + "\r\n";
    String response = call("POST", "/once/x", headers, "x");
    assertEquals(status(response), 200, response.substring(0, Math.min(200, response.length())));
    assertEquals(first.requests.size(), 1);
  }
}
