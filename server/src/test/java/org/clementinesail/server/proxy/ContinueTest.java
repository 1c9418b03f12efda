package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the responses on a connection whose caller waits for 100 Continue. */
public final class ContinueTest extends ProxyTest {
  private static String request(String start, String headers, String body) {
    String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
    return start + " HTTP/1.1\r\nHost: shop\r\n" + headers + length + "\r\n" + body;
  }

  /** Requests that follow one with Expect on the same connection, and their responses' bodies. */
  @DataProvider
  public Object[][] nextRequests() {
    return new Object[][] {{"HEAD /safe/x", ""}, {"GET /safe/x", "well"}};
  }

  /** The response to a request with Expect is whole, whatever request has been sent behind it. */
  @Test(dataProvider = "nextRequests")
  public void responseAfterContinueIsWhole(String next, String body) throws Exception {
    startTargets(OK_RESPONSE);
    first.script =
        request -> request.startsWith("HEAD") ? OK_RESPONSE.replace("well", "") : OK_RESPONSE;
    String requests =
        request("POST /once/x", "Id: r1\r\nExpect: 100-continue\r\n", "pay")
            + request(next, "Id: r2\r\nConnection: close\r\n", "");
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
      byte[] received = socket.getInputStream().readAllBytes();
      String text = new String(received, StandardCharsets.US_ASCII);
      String[] responses = text.split("HTTP/1.1 ", -1);
      assertEquals(responses.length, 4, text);
      assertTrue(responses[1].startsWith("100 "), text);
      assertTrue(responses[2].startsWith("200 ") && responses[2].endsWith("well"), text);
      assertTrue(responses[3].startsWith("200 ") && responses[3].endsWith("\r\n\r\n" + body), text);
    }
  }
}
