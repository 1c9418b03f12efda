package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which ends of a target's stream are complete for the caller. */
public final class StreamEndTest extends ProxyTest {
  /** Framing of the body of a stream. */
  private enum Framing {
    LENGTH {
      @Override
      String of(String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
      }
    },
    CHUNKS {
      @Override
      String of(String body) {
        String size = Integer.toHexString(body.length());
        return "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body + "\r\n0\r\n\r\n";
      }
    },
    CLOSE {
      @Override
      String of(String body) {
        return "\r\n" + body + ScriptedTarget.CLOSE;
      }
    };

    abstract String of(String body);
  }

  private static final Object[][] ENDS = {
    {"whole events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true},
    {"whole events, CRLF", "id: 1\r\ndata: a\r\n\r\n", true},
    {"whole events, CR", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", true},
    {"blank line after the last event", "id: 1\ndata: a\n\n\n", true},
    {"comment after the last event", "id: 1\ndata: a\n\n: bye\n\n", true},
    {"within a field", "id: 1\ndata: a\n\nid: 2\nda", false},
    {"after a field", "id: 1\ndata: a\n\nid: 2\ndata: b\n", false},
    {"after a field, CR", "id: 1\ndata: a\n\nid: 2\ndata: b\r", false},
    {"within the last CRLF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r", false},
    {"within a character", "id: 1\ndata: a\n\ndata: \u00c3", false},
    {"within a comment", "id: 1\ndata: a\n\n: by", false},
    {"after one byte", "id: 1\ndata: a\n\ni", false},
  };

  /** The ends, each with each framing. */
  @DataProvider
  public Object[][] ends() {
    Object[][] cases = new Object[ENDS.length * Framing.values().length][];
    int count = 0;
    for (Object[] end : ENDS) {
      for (Framing framing : Framing.values()) {
        cases[count++] = new Object[] {end[0], framing, end[1], end[2]};
      }
    }
    return cases;
  }

  /** A stream that ends within an event is not complete, whatever its framing says. */
  @Test(dataProvider = "ends")
  public void endWithinAnEventIsIncomplete(
      String name, Object framing, String body, boolean complete) throws Exception {
    startTargets(EVENT_STREAM_HEAD + ((Framing) framing).of(body));
    Received received = receive("/fragile/x", "");
    String seen = name + ", " + framing + ": " + received;
    assertEquals(received.complete(), complete, seen);
    assertEquals(received.closed(), !complete, seen);
    if (complete) {
      assertEquals(unchunked(received.text()), body, seen);
    }
    assertEquals(second.requests.size(), 0, seen);
  }

  /** A stream without length and chunks that is reset is not complete, after an event too. */
  @Test
  public void resetIsNoEnd() throws Exception {
    startTargets(EVENT_STREAM_HEAD + "\r\nid: 1\ndata: a\n\n" + ScriptedTarget.RESET);
    Received received = receive("/fragile/x", "");
    assertTrue(received.closed() && !received.complete(), received.toString());
  }

  /** A plain response without length and chunks that is reset is not complete. */
  @Test
  public void resetPlainResponseIsNotComplete() throws Exception {
    startTargets("HTTP/1.1 200 OK\r\nProof: p\r\n\r\nwe" + ScriptedTarget.RESET);
    assertEquals(status(call("POST", "/once/x", "", "pay")), 502);
  }

  /** A large response without length and chunks that is reset is not complete for the caller. */
  @Test
  public void resetLargeResponseIsNotComplete() throws Exception {
    String body = "x".repeat(100_000);
    startTargets("HTTP/1.1 200 OK\r\nProof: p\r\n\r\n" + body + ScriptedTarget.RESET);
    Received received = receive("/once/x", "");
    assertTrue(received.closed() && !received.complete());
  }

  private static String unchunked(String response) {
    String rest = response.substring(response.indexOf("\r\n\r\n") + 4);
    StringBuilder body = new StringBuilder();
    while (true) {
      int lineEnd = rest.indexOf("\r\n");
      int size = Integer.parseInt(rest.substring(0, lineEnd), 16);
      if (size == 0) {
        return body.toString();
      }
      body.append(rest, lineEnd + 2, lineEnd + 2 + size);
      rest = rest.substring(lineEnd + 2 + size + 2);
    }
  }
}
