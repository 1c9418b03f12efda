package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests bytes without end that are no response: the caller is served by another target. */
public class EndlessResponseTest extends ProxyTest {
  private static final String FILLER = "x".repeat(1_000);

  /** Beginning of what the first target sends, and what it repeats until the connection closes. */
  @DataProvider
  public Object[][] endless() {
    String chunked = "HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
    String otherRequest = OK_RESPONSE.replace("Proof", "Id: r0\r\nProof").replace("4", "999999999");
    return new Object[][] {
      {"no HTTP", "", FILLER},
      {"status line", "HTTP/1.1 200 ", FILLER},
      {"header line", "HTTP/1.1 200 OK\r\nProof: ", FILLER},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: 1\r\n"},
      {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"refusal's body", REFUSAL.replace("Length: 0", "Length: 999999999"), FILLER},
      {"other request's body", otherRequest.replace("well", ""), FILLER},
      {"other requests' responses", "", OK_RESPONSE.replace("Proof", "Id: r0\r\nProof")},
      {"chunk extension", chunked + "4;", FILLER},
      {"trailers", chunked + "4\r\nwell\r\n0\r\n", "X-Filler: 1\r\n"},
    };
  }

  /** The connection is closed, and a repeatable request is answered by the second target. */
  @Test(dataProvider = "endless")
  public void endlessBytesEndTheConnection(String name, String start, String repeated)
      throws Exception {
    startTargets(start + ScriptedTarget.ENDLESS + repeated);
    String response = call("GET", "/safe/x", "", "");
    assertEquals(status(response), 200, name + ": " + response);
    assertTrue(response.endsWith("well"), response);
    awaitEndOfEndlessBytes();
    assertTrue(first.bytesRepeated.get() < 16_000_000, name + ": " + first.bytesRepeated);
  }

  /** An event without end is not kept; the stream continues on the second target. */
  @Test
  public void endlessEventEndsTheConnection() throws Exception {
    startTargets(
        EVENT_STREAM_HEAD
            + "Content-Length: 999999999\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: "
            + ScriptedTarget.ENDLESS
            + FILLER);
    String rest = "id: 2\ndata: e2\n\n";
    second.script =
        request -> EVENT_STREAM_HEAD + "Content-Length: " + rest.length() + "\r\n\r\n" + rest;
    String response = call("POST", "/stream/x", "", "p");
    assertTrue(response.contains("data: e1") && response.contains("data: e2"), response);
    assertFalse(response.contains(FILLER), "bytes of the endless event reached the caller");
    awaitEndOfEndlessBytes();
  }

  private void awaitEndOfEndlessBytes() throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (first.endlessRunning && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertFalse(first.endlessRunning, "the connection stays open");
  }
}
