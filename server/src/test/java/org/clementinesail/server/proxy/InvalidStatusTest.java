package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response whose status is none reaches no caller, neither as a status nor a body. */
public final class InvalidStatusTest extends ProxyTest {
  private static final String[] STATUSES = {
    "000 No",
    "099 Low",
    "600 High",
    "999 Top",
    "1000 Long",
    "2OO OK",
    "",
    " ",
    "000",
    "20",
    "-200 OK"
  };
  private static final String EVENT = "id: 1\ndata: forged\n\n";

  /** The forged status lines, after the HTTP version. */
  @DataProvider
  public static Object[][] statuses() {
    Object[][] rows = new Object[STATUSES.length][];
    for (int i = 0; i < rows.length; i++) {
      rows[i] = new Object[] {STATUSES[i]};
    }
    return rows;
  }

  /** Returns a response of a target with a status line, complete otherwise. */
  static String forged(String status, String request) {
    String response = identifiedResponse(request);
    return response.replace("200 OK", status).replace("well", "evil");
  }

  /** Returns the head and first event of a stream with a status line. */
  static String forgedStream(String status, String request) {
    int start = request.indexOf("Id: ");
    String id = request.substring(start, request.indexOf("\r\n", start));
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + id
        + "\r\nProof: p\r\nContent-Type: text/event-stream\r\n\r\n"
        + EVENT
        + ScriptedTarget.CLOSE;
  }

  /** Fails if a caller could take an answer for the target's. */
  static void assertNotForged(String answer, String status) {
    assertTrue(answer.matches("(?s)HTTP/1\\.1 50[234] .*"), "'" + status + "': " + answer);
    assertFalse(answer.contains("evil") || answer.contains("forged"), status + ": " + answer);
    assertFalse(answer.contains("Proof"), status + ": " + answer);
  }

  /** The only target sends it to a request that may run once; it must not run again. */
  @Test(dataProvider = "statuses")
  public void orderIsAnsweredUnknownAndNotRepeated(String status) throws Exception {
    startTargets("");
    first.script = request -> forged(status, request);
    String answer = call("POST", "/once/x", "", "order");
    assertEquals(status(answer), 502, "'" + status + "': " + answer);
    assertNotForged(answer, status);
    assertEquals(first.requests.size() + second.requests.size(), 1, status);
  }

  /** A lookup is sent to another target, whose answer the caller gets. */
  @Test(dataProvider = "statuses")
  public void lookupIsAnsweredByAnotherTarget(String status) throws Exception {
    startTargets("");
    first.script = request -> forged(status, request);
    String answer = call("GET", "/lookup/x", "", "");
    assertEquals(status(answer), 200, "'" + status + "': " + answer);
    assertTrue(answer.endsWith("well"), answer);
  }

  /** Both attempts get one. */
  @Test(dataProvider = "statuses")
  public void retryIsNotAnsweredWithIt(String status) throws Exception {
    startTargets("");
    first.script = request -> forged(status, request);
    second.script = request -> forged(status, request);
    assertNotForged(call("GET", "/lookup/x", "", ""), status);
  }

  /** A connection that has been kept after a sound answer. */
  @Test(dataProvider = "statuses")
  public void keptConnectionDoesNotPassItOn(String status) throws Exception {
    startTargets("");
    first.script =
        request ->
            request.contains("/once/") ? forged(status, request) : identifiedResponse(request);
    assertEquals(status(call("GET", "/lookup/x", "Id: k1\r\n", "")), 200);
    assertNotForged(call("POST", "/once/x", "Id: k2\r\n", "order"), status);
    assertEquals(status(call("GET", "/lookup/x", "Id: k3\r\n", "")), 200);
  }

  /** A stream that may not be repeated. */
  @Test(dataProvider = "statuses")
  public void streamDoesNotBeginWithIt(String status) throws Exception {
    startTargets("");
    first.script = request -> forgedStream(status, request);
    assertNotForged(call("POST", "/fragile/x", "", "prompt"), status);
    assertEquals(first.requests.size() + second.requests.size(), 1, status);
  }
}
