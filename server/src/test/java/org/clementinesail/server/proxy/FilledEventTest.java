package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an event that another response completes does not reach the caller. */
public final class FilledEventTest extends ProxyTest {
  private static final String EVENT = ContinuedStreamTest.event(1);
  private static final String FOREIGN =
      String.join(
          "\r\n",
          "HTTP/1.1 200 OK",
          "Content-Type: text/event-stream",
          "Id: r0",
          "Proof: p",
          "Content-Length: 18",
          "",
          "id: 2\ndata: evil\n\n");

  private static String chunk(String body) {
    return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
  }

  /** Framings of the stream; its second event is truncated and the foreign response follows. */
  @DataProvider
  public Object[][] framings() {
    String truncated = "id: 2\ndata: e";
    String size = Integer.toHexString(truncated.length() + FOREIGN.length() - 9);
    int length = EVENT.length() + truncated.length() + FOREIGN.length() - 9;
    return new Object[][] {
      {"chunk", "Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENT) + size + "\r\n" + truncated},
      {"length", "Content-Length: " + length + "\r\n\r\n" + EVENT + truncated},
      {"until closed", "\r\n" + EVENT + truncated},
    };
  }

  /** The stream goes on at another target after its last whole event. */
  @Test(dataProvider = "framings")
  public void eventCompletedByAnotherResponseIsNotPassedOn(String name, String stream)
      throws Exception {
    startTargets(EVENT_STREAM_HEAD + stream + FOREIGN + ScriptedTarget.CLOSE);
    String rest = ContinuedStreamTest.event(2) + ContinuedStreamTest.event(3);
    second.script =
        request ->
            EVENT_STREAM_HEAD
                + "Transfer-Encoding: chunked\r\n\r\n"
                + chunk(request.contains("After: 1") ? rest : "no place")
                + "0\r\n\r\n";
    Received received = receive("/stream/x", "");
    assertEquals(received.heads(), 1, name + ": " + received);
    assertFalse(received.text().contains("evil"), name + ": " + received);
    assertTrue(received.text().contains(ContinuedStreamTest.event(3)), name + ": " + received);
    assertTrue(received.complete(), name + ": " + received);
  }

  /** An event may have a response as its text. */
  @DataProvider
  public Object[][] soundEvents() {
    return new Object[][] {
      {"status line", "id: 1\r\ndata: HTTP/1.1 200 OK\r\n\r\n"},
      {"head in lines of data", "id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: Id: r0\r\ndata: \r\n\r\n"},
      {"status line and a field", "data: HTTP/1.1 200 OK\r\nretry: 3\r\n\r\n"},
    };
  }

  /** Events whose text is about responses are passed on. */
  @Test(dataProvider = "soundEvents")
  public void eventWithAResponseAsItsTextIsPassedOn(String name, String event) throws Exception {
    startTargets(
        EVENT_STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event) + "0\r\n\r\n");
    Received received = receive("/stream/x", "");
    assertTrue(received.text().contains(event) && received.complete(), name + ": " + received);
  }
}
