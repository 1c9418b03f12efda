package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response that ends within its head never becomes a success. */
public final class TruncatedHeadTest extends ProxyTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n";
  private static final String LENGTH = HEAD + "Content-Length: 14\r\n\r\nfourteen bytes";
  private static final String CHUNKED =
      HEAD + "Transfer-Encoding: chunked\r\n\r\ne\r\nfourteen bytes\r\n0\r\n\r\n";
  private static final String UNTIL_CLOSE = HEAD + "\r\nfourteen bytes";
  private static final String EVENTS =
      HEAD + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata:a\n\n";

  /** Routes, responses, the place up to which an end must not look complete, and the end. */
  @DataProvider
  public Object[][] ends() {
    List<Object[]> ends = new ArrayList<>();
    for (String end : List.of(ScriptedTarget.CLOSE, ScriptedTarget.RESET)) {
      ends.add(new Object[] {"/once/x", LENGTH, LENGTH.length(), end});
      ends.add(new Object[] {"/once/x", CHUNKED, CHUNKED.length(), end});
      ends.add(new Object[] {"/once/x", UNTIL_CLOSE, UNTIL_CLOSE.indexOf("fourteen"), end});
      ends.add(new Object[] {"/fragile/x", EVENTS, EVENTS.indexOf("id: 1"), end});
    }
    return ends.toArray(Object[][]::new);
  }

  private static String name(int cut, String response) {
    return "after " + cut + " bytes: " + response;
  }

  /** On a new connection. */
  @Test(dataProvider = "ends")
  public void endOnNewConnectionIsNoSuccess(String path, String response, int whole, String end)
      throws Exception {
    applyDesiredState();
    addTarget("t1", first, "a");
    for (int cut = 0; cut < whole; cut++) {
      String part = response.substring(0, cut) + end;
      first.script = request -> part;
      String answer = call("POST", path, "", "b" + cut);
      assertFalse(isWholeSuccess(answer), name(cut, answer));
    }
  }

  /** On a connection that has been kept after a response. */
  @Test(dataProvider = "ends")
  public void endOnKeptConnectionIsNoSuccess(String path, String response, int whole, String end)
      throws Exception {
    applyDesiredState();
    addTarget("t1", first, "a");
    for (int cut = 0; cut < whole; cut++) {
      String part = response.substring(0, cut) + end;
      first.script = request -> request.contains("/lookup/") ? identifiedResponse(request) : part;
      int arrived = first.carriers.size();
      assertEquals(status(call("GET", "/lookup/x", "Id: k" + cut + "\r\n", "")), 200);
      String answer = call("POST", path, "", "b" + cut);
      assertFalse(isWholeSuccess(answer), name(cut, answer));
      Socket kept = first.carriers.get(arrived);
      assertSame(first.carriers.get(arrived + 1), kept, "carrier " + name(cut, answer));
    }
  }

  /** Returns whether a caller would take a response for a complete success. */
  private static boolean isWholeSuccess(String answer) {
    boolean chunked = answer.toLowerCase(Locale.ROOT).contains("chunked");
    return status(answer) == 200 && (!chunked || answer.endsWith("0\r\n\r\n"));
  }
}
