package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bytes that callers and targets receive when responses are malformed or incomplete. */
public class ProxyServerTest extends ProxyTest {
  /** A request that arrives before the first desired state waits for it and succeeds. */
  @Test
  public void requestWaitsForTheFirstDesiredState() throws Exception {
    addTarget("t1", first, "a");
    first.script = request -> OK_RESPONSE;
    ExecutorService caller = Executors.newSingleThreadExecutor();
    try {
      Future<String> response = caller.submit(() -> call("GET", "/safe/x", "", ""));
      awaitRequest();
      applyDesiredState();
      assertTrue(response.get(10, TimeUnit.SECONDS).startsWith("HTTP/1.1 200"));
    } finally {
      caller.shutdownNow();
    }
  }

  /** Without a desired state a request gets 503 and is not sent to a target. */
  @Test
  public void requestIsRefusedWithoutDesiredState() throws Exception {
    addTarget("t1", first, "a");
    String response = call("GET", "/safe/x", "Timeout-Ms: 300\r\n", "");
    assertTrue(response.startsWith("HTTP/1.1 503"), response);
    assertEquals(first.requests.size(), 0);
  }

  private void awaitRequest() throws Exception {
    while (loop.submit(proxy::requestsInProgress).get() == 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  /**
   * Response of the first target, then the status that callers get for a repeatable and for an
   * unrepeatable request. The second target sends a valid response.
   */
  @DataProvider
  public Object[][] responses() {
    return new Object[][] {
      {"length", OK_RESPONSE, 200, 200},
      {
        "no length, closed",
        "HTTP/1.1 200 OK\r\nProof: p\r\n\r\nwell" + ScriptedTarget.CLOSE,
        200,
        200
      },
      {
        "chunked",
        "HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n",
        200,
        200
      },
      {"own request id", OK_RESPONSE.replace("Proof", "Id: r1\r\nProof"), 200, 200},
      {"server error", "HTTP/1.1 500 No\r\nProof: p\r\nContent-Length: 2\r\n\r\nno", 200, 500},
      {"not found", "HTTP/1.1 404 No\r\nProof: p\r\nContent-Length: 2\r\n\r\nno", 404, 404},
      {"refusal", REFUSAL, 200, 200},
      {"refusal, then closed", REFUSAL + ScriptedTarget.CLOSE, 200, 200},
      {
        "refusal, body cut",
        REFUSAL.replace("Length: 0", "Length: 9") + ScriptedTarget.CLOSE,
        200,
        200
      },
      {
        "refusal, body missing",
        REFUSAL.replace("Length: 0", "Length: 9") + ScriptedTarget.HANG,
        200,
        200
      },
      {"closed at once", ScriptedTarget.CLOSE, 200, 502},
      {"reset at once", ScriptedTarget.RESET, 200, 502},
      {"head cut", "HTTP/1.1 200 OK\r\nPro" + ScriptedTarget.CLOSE, 200, 502},
      {"body cut", OK_RESPONSE.replace("Length: 4", "Length: 9") + ScriptedTarget.CLOSE, 200, 502},
      {
        "body reset",
        "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 90\r\n\r\nwe" + ScriptedTarget.RESET,
        200,
        502
      },
      {
        "chunk cut",
        "HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwel"
            + ScriptedTarget.CLOSE,
        200,
        502
      },
      {
        "chunk end missing",
        "HTTP/1.1 200 OK\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n"
            + ScriptedTarget.CLOSE,
        200,
        502
      },
      {"no proof", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil", 200, 502},
      {"control character", OK_RESPONSE.replace("Proof", "X-Own: a\0b\r\nProof"), 200, 502},
      {"invalid header name", OK_RESPONSE.replace("Proof", "X\u00e9Own: a\r\nProof"), 200, 502},
      {"not HTTP", "hello there\r\n\r\n" + ScriptedTarget.CLOSE, 200, 502},
      {
        "other request's response, closed",
        OK_RESPONSE.replace("Proof", "Id: r0\r\nProof") + ScriptedTarget.CLOSE,
        200,
        502
      },
      {
        "other request's response first",
        OK_RESPONSE.replace("Proof", "Id: r0\r\nProof").replace("well", "evil") + OK_RESPONSE,
        200,
        200
      },
      {"no response", ScriptedTarget.HANG, 504, 504},
    };
  }

  /** A repeatable request is retried, and an incomplete response never looks complete. */
  @Test(dataProvider = "responses")
  public void repeatableRequest(
      String name, String script, int repeatableStatus, int unrepeatableStatus) throws Exception {
    startTargets(script);
    String response = call("GET", "/safe/x", "", "");
    assertEquals(status(response), repeatableStatus, name + ": " + response);
    assertFalse(response.contains("evil"), response);
    if (repeatableStatus == 200) {
      assertTrue(response.endsWith("well"), response);
    }
  }

  /** An unrepeatable request is sent once, unless the first target refuses it. */
  @Test(dataProvider = "responses")
  public void unrepeatableRequest(
      String name, String script, int repeatableStatus, int unrepeatableStatus) throws Exception {
    startTargets(script);
    String response = call("POST", "/once/x", "", "pay");
    assertEquals(status(response), unrepeatableStatus, name + ": " + response);
    assertFalse(response.contains("evil"), response);
    boolean refused = script.contains("Not-Started");
    assertEquals(second.requests.size(), refused ? 1 : 0, name);
    assertEquals(first.requests.size(), 1, name);
  }

  /** Bytes after a complete response reach no caller. */
  @Test
  public void bytesAfterAResponseAreDropped() throws Exception {
    startTargets(OK_RESPONSE + "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 4\r\n\r\nevil");
    assertTrue(call("GET", "/safe/x", "", "").endsWith("well"));
    first.script = request -> OK_RESPONSE;
    assertTrue(call("GET", "/safe/x", "", "").endsWith("well"));
  }

  /** The target gets method, path, query, body and headers unchanged, but not the API key. */
  @Test
  public void targetGetsTheRequestUnchanged() throws Exception {
    startTargets(OK_RESPONSE);
    String headers = "X-Own: 1\r\nKey: secret-key\r\nTimeout-Ms: 700\r\n";
    assertEquals(status(call("PUT", "/keyed/a%20b?c=d&&e", headers, "body")), 200);
    String request = first.requests.get(0);
    assertTrue(request.startsWith("PUT /keyed/a%20b?c=d&&e HTTP/1.1\r\n"), request);
    assertTrue(request.endsWith("\r\n\r\nbody"), request);
    assertTrue(request.contains("X-Own: 1") && request.contains("Workspace: acme"), request);
    assertFalse(request.contains("secret-key"), request);
    assertFalse(request.contains("Connection: close"), request);
  }

  /** Without a desired state or target 503, without a route 404, with a wrong key 401. */
  @Test
  public void refusalStatusTellsTheReason() throws Exception {
    String early = call("GET", "/safe/x", "", "");
    assertEquals(status(early), 503);
    assertTrue(early.contains("Retry-After"), early);
    applyDesiredState();
    assertEquals(status(call("GET", "/nowhere/", "", "")), 404);
    assertEquals(status(call("GET", "/keyed/", "Key: wrong\r\n", "")), 401);
    assertEquals(status(call("GET", "/safe/x", "", "")), 503);
  }

  /** All targets refuse: the caller gets 503, which says that nothing has run, and Retry-After. */
  @Test
  public void refusalByAllTargetsIsReportedAsNotRun() throws Exception {
    startTargets(REFUSAL);
    second.script = request -> REFUSAL;
    String response = call("POST", "/once/x", "", "pay");
    assertEquals(status(response), 503, response);
    assertTrue(response.contains("Retry-After"), response);
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  /** A stream that breaks within an event continues on another target, with each event once. */
  @Test
  public void brokenStreamContinuesOnAnotherTarget() throws Exception {
    startTargets(
        EVENT_STREAM_HEAD
            + "Content-Length: 900\r\n\r\n"
            + event(1)
            + event(2)
            + "id: 3\nda"
            + ScriptedTarget.CLOSE);
    Function<String, String> rest =
        request -> {
          String body = event(2) + event(3) + event(4);
          return EVENT_STREAM_HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        };
    second.script = rest;
    String response = call("POST", "/stream/x", "", "p");
    List<String> events =
        Pattern.compile("data: (e[0-9])")
            .matcher(response)
            .results()
            .map(match -> match.group(1))
            .toList();
    assertEquals(events, List.of("e1", "e2", "e3", "e4"), response);
    assertTrue(second.requests.get(0).contains("After: 2"), second.requests.get(0));
    assertTrue(response.endsWith("0\r\n\r\n"), response);
  }

  /** A stream that must not be resumed ends without the last chunk and runs once. */
  @Test
  public void nonResumableStreamEndsIncomplete() throws Exception {
    startTargets(
        EVENT_STREAM_HEAD + "Content-Length: 900\r\n\r\n" + event(1) + ScriptedTarget.RESET);
    String response = call("POST", "/fragile/x", "", "p");
    assertFalse(response.endsWith("0\r\n\r\n"), response);
    assertEquals(second.requests.size(), 0);
  }

  /** A stream that breaks before its first event starts again on another target. */
  @Test
  public void streamWithoutEventsRestartsOnAnotherTarget() throws Exception {
    startTargets(EVENT_STREAM_HEAD + "Content-Length: 900\r\n\r\n" + ScriptedTarget.CLOSE);
    String body = event(1);
    second.script =
        request -> EVENT_STREAM_HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    String response = call("POST", "/stream/x", "", "p");
    assertTrue(response.contains("data: e1"), response);
    assertFalse(second.requests.get(0).contains("After"), second.requests.get(0));
  }

  /** A stream without length and chunks that ends after an event is complete. */
  @Test
  public void unframedStreamThatEndsAfterAnEventIsComplete() throws Exception {
    startTargets(EVENT_STREAM_HEAD + "\r\n" + event(1) + event(2) + ScriptedTarget.CLOSE);
    String response = call("POST", "/stream/x", "", "p");
    assertTrue(response.contains("data: e2"), response);
    assertTrue(response.endsWith("0\r\n\r\n"), response);
    assertEquals(second.requests.size(), 0);
  }

  /** How a stream without length and chunks is broken off. */
  @DataProvider
  public Object[][] unframedBreaks() {
    return new Object[][] {
      {"within an event", "id: 2\nda" + ScriptedTarget.CLOSE},
      {"after a line of an event", "id: 2\ndata: e2\n" + ScriptedTarget.CLOSE},
      {"reset within an event", "id: 2\nda" + ScriptedTarget.RESET},
      {"reset after an event", event(2) + ScriptedTarget.RESET}
    };
  }

  /** A stream without length and chunks that is broken off is not complete for the caller. */
  @Test(dataProvider = "unframedBreaks")
  public void brokenUnframedStreamIsIncomplete(String name, String end) throws Exception {
    startTargets(EVENT_STREAM_HEAD + "\r\n" + event(1) + end);
    String response = call("POST", "/fragile/x", "", "p");
    assertFalse(response.endsWith("0\r\n\r\n"), name + ": " + response);
  }
}
