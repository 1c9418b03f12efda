package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that what breaks off behind the serving VM does not look complete at the cut VM. */
public final class TwoHopEndTest extends TwoHopTest {
  private static final String LARGE = "x".repeat(100_000);
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private static String chunk(String body) {
    return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
  }

  private static String ok(String rest) {
    return "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n" + rest;
  }

  /** Plain responses that break off, by framing and size. */
  @DataProvider
  public Object[][] brokenResponses() {
    return new Object[][] {
      {"no length, reset", ok("\r\nwe") + ScriptedTarget.RESET},
      {"no length, reset before the body", ok("\r\n") + ScriptedTarget.RESET},
      {"no length, large, reset", ok("\r\n" + LARGE) + ScriptedTarget.RESET},
      {"length, closed", ok("Content-Length: 9\r\n\r\nwell") + ScriptedTarget.CLOSE},
      {
        "length, large, closed", ok("Content-Length: 200000\r\n\r\n" + LARGE) + ScriptedTarget.CLOSE
      },
      {"chunks, closed", ok(CHUNKED + chunk("well")) + ScriptedTarget.CLOSE},
      {"chunks, large, closed", ok(CHUNKED + chunk(LARGE)) + ScriptedTarget.CLOSE},
      {"chunks, within a chunk", ok(CHUNKED + "9\r\nwell") + ScriptedTarget.CLOSE},
      {"head, closed", "HTTP/1.1 200 OK\r\nId: r1\r\nProof" + ScriptedTarget.CLOSE},
    };
  }

  /** A response that breaks off is a failure of the VM, or ends without a last chunk. */
  @Test(dataProvider = "brokenResponses")
  public void brokenResponseIsNotComplete(String name, String script) throws Exception {
    first.script = request -> script;
    Received received = receive("/once/x", "");
    boolean cut = received.closed() && !received.complete();
    String head = received.text().substring(0, Math.min(300, received.text().length()));
    assertTrue(status(received.text()) == 502 || cut, name + ": " + head);
    assertEquals(first.requests.size(), 1, name + describe());
  }

  /** A response without length that ends with its connection is whole over both hops. */
  @Test
  public void responseWithoutLengthIsWhole() throws Exception {
    first.script = request -> ok("\r\nwell") + ScriptedTarget.CLOSE;
    assertEquals(body(call("POST", "/once/x", "", "x")), "well");
    first.script = request -> ok("\r\n" + LARGE) + ScriptedTarget.CLOSE;
    Received received = receive("/once/x", "");
    assertTrue(received.complete());
  }

  /** Events of a stream that breaks off, by framing. */
  @DataProvider
  public Object[][] brokenStreams() {
    String events = ContinuedStreamTest.event(1) + "id: 2\nda";
    String head = EVENT_STREAM_HEAD + "Id: r1\r\n";
    return new Object[][] {
      {"chunks, closed", head + CHUNKED + chunk(events) + ScriptedTarget.CLOSE},
      {"chunks, reset", head + CHUNKED + chunk(events) + ScriptedTarget.RESET},
      {"chunks, complete", head + CHUNKED + chunk(events) + "0\r\n\r\n"},
      {"length", head + "Content-Length: " + events.length() + "\r\n\r\n" + events},
      {"no length, closed", head + "\r\n" + events + ScriptedTarget.CLOSE},
      {"no length, reset", head + "\r\n" + events + ScriptedTarget.RESET},
    };
  }

  /** A stream that breaks within an event goes on at the serving VM's next target. */
  @Test(dataProvider = "brokenStreams")
  public void streamBrokenWithinAnEventGoesOn(String name, String script) throws Exception {
    addTargetBehindCut("t2", second, "b");
    String rest = ContinuedStreamTest.event(2) + ContinuedStreamTest.event(3);
    first.script = request -> script;
    second.script =
        request ->
            EVENT_STREAM_HEAD
                + CHUNKED
                + chunk(request.contains("After: 1") ? rest : "no place")
                + "0\r\n\r\n";
    Received received = receive("/stream/x", "");
    String seen = name + ": " + received + describe();
    assertEquals(received.heads(), 1, seen);
    assertEquals(received.text().split("data: e2", -1).length, 2, seen);
    assertTrue(received.complete() && received.text().contains("data: e3"), seen);
  }

  /** A stream that breaks within an event and cannot go on is not complete. */
  @Test(dataProvider = "brokenStreams")
  public void brokenStreamIsNotComplete(String name, String script) throws Exception {
    first.script = request -> script;
    Received received = receive("/fragile/x", "");
    String seen = name + ": " + received + describe();
    assertTrue(received.closed() && !received.complete(), seen);
    assertFalse(received.text().contains("id: 2"), seen);
  }

  /** An event that another response completes reaches no caller of the cut VM. */
  @Test
  public void eventCompletedByAnotherResponseIsNotPassedOn() throws Exception {
    String foreign =
        EVENT_STREAM_HEAD + "Id: r0\r\nContent-Length: 18\r\n\r\nid: 2\ndata: evil\n\n";
    String events = ContinuedStreamTest.event(1) + "id: 2\ndata: e" + foreign;
    first.script = request -> EVENT_STREAM_HEAD + "Id: r1\r\n" + CHUNKED + chunk(events);
    Received received = receive("/fragile/x", "");
    assertFalse(received.text().contains("evil"), received.toString());
    boolean cut = received.closed() && !received.complete();
    assertTrue(status(received.text()) == 502 || cut, received.toString());
  }

  /** Lengths of the part of a body that another response fills. */
  @DataProvider
  public Object[][] truncations() {
    return new Object[][] {{1}, {5}, {17}, {30}};
  }

  /** A body that another response fills within one read is not passed on over both hops. */
  @Test(dataProvider = "truncations")
  public void bodyFilledByAnotherResponseIsLost(int missing) throws Exception {
    String own = ok("Content-Length: 40\r\n\r\n" + "o".repeat(40));
    String truncated = own.substring(0, own.length() - missing);
    answerInTurn(PoolTest.success("r0"), truncated + PoolTest.success("r0"));
    assertEquals(status(call("POST", "/once/x", "Id: r0\r\n", "x")), 200);
    assertEquals(status(call("POST", "/once/x", "", "x")), 502, describe());
  }

  /** Interim responses of a target. */
  @DataProvider
  public Object[][] interimResponses() {
    return new Object[][] {
      {"100", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"102 with id", "HTTP/1.1 102 Processing\r\nId: r1\r\n\r\n"},
      {"103 with proof", "HTTP/1.1 103 Early Hints\r\nId: r1\r\nProof: p\r\nLink: </a>\r\n\r\n"},
      {"two", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"},
    };
  }

  /** Interim responses end on the first hop; the caller gets the final one only. */
  @Test(dataProvider = "interimResponses")
  public void interimResponseIsNotTheAnswer(String name, String interim) throws Exception {
    first.script = request -> interim + identifiedResponse(request);
    String response = call("POST", "/once/x", "", "x");
    assertEquals(response.split("HTTP/1.1 ", -1).length, 2, name + ": " + response);
    assertEquals(status(response), 200, name + ": " + response + describe());
  }
}
