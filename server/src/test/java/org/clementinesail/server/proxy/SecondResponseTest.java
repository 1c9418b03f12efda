package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a second response of another kind than the first spoils no later response. */
public final class SecondResponseTest extends PoolTest {
  private static final String OWN = failure("r1");

  /** Bytes that come before the own response on a kept connection. */
  @DataProvider
  public Object[][] copies() {
    String copy = success("r0");
    String noLength = "HTTP/1.1 204 No Content\r\nId: r0\r\n\r\n";
    return new Object[][] {
      {"without id", copy.replace("Id: r0\r\n", "")},
      {"id in another case", copy.replace("Id: r0", "Id: R0")},
      {"own id in another case", copy.replace("Id: r0", "Id: R1")},
      {"own id after a space", copy.replace("Id: r0", "Id:  r0 ")},
      {"id name in another case", copy.replace("Id: r0", "iD: r0")},
      {"id twice", copy.replace("Id: r0", "Id: r0\r\nId: r0")},
      {"own id second", copy.replace("Id: r0", "Id: r0\r\nid: r1")},
      {"empty id", copy.replace("Id: r0", "Id: ")},
      {"copies of several", copy + failure("r8") + success("r9")},
      {"many copies", copy.repeat(12)},
      {"100", "HTTP/1.1 100 Continue\r\n\r\n" + copy},
      {"103 with own id", "HTTP/1.1 103 Early Hints\r\nId: r1\r\nX: y\r\n\r\n" + copy},
      {"100 with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nevil"},
      {"204", noLength + copy},
      {"204 with a body", noLength.replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nevil")},
      {"304", "HTTP/1.1 304 Not Modified\r\nId: r0\r\nContent-Length: 4\r\n\r\n" + copy},
      {"304 with a body", "HTTP/1.1 304 Same\r\nId: r0\r\nContent-Length: 4\r\n\r\nevil"},
      {"close in the copy", copy.replace("Id:", "Connection: close\r\nId:")},
      {
        "chunked",
        copy.replaceAll(
            "Content-Length: .*\r\n\r\n.*",
            "Transfer-Encoding: chunked" + "\r\n\r\n4\r\nevil\r\n0\r\nTrailer-Of: r0\r\n\r\n")
      },
      {"cut in its body", copy.substring(0, copy.length() - 3)},
      {"cut where its body begins", copy.substring(0, copy.length() - 7)},
    };
  }

  /** Whatever precedes the own response, it is passed on as it is, or lost. */
  @Test(dataProvider = "copies")
  public void copyBeforeTheOwnResponse(String name, String copy) throws Exception {
    answerInTurn(success("r0"), copy + OWN, success("r2"));
    assertEquals(call("r0").status(), 200);
    assertOwnOrLost(call("r1"), OWN, name);
    assertEquals(call("r2").body(), "well r2", name);
  }

  /** Whatever follows the own response, it is passed on, and the next one is not affected. */
  @Test(dataProvider = "copies")
  public void copyAfterTheOwnResponse(String name, String copy) throws Exception {
    answerInTurn(success("r0"), OWN + copy, success("r2"));
    assertEquals(call("r0").status(), 200);
    Outcome outcome = call("r1");
    assertEquals(outcome.failure(), null, name + ": " + outcome);
    assertOwnOrLost(outcome, OWN, name);
    Outcome next = call("r2");
    assertEquals(next.body(), "well r2", name + ": " + next);
  }

  /** The same bytes while the connection is idle affect no response. */
  @Test(dataProvider = "copies")
  public void copyWhileIdle(String name, String copy) throws Exception {
    answerInTurn(success("r0"), OWN + ScriptedTarget.PAUSE + copy, success("r2"));
    assertEquals(call("r0").status(), 200);
    assertOwnOrLost(call("r1"), OWN, name);
    TimeUnit.MILLISECONDS.sleep(100);
    Outcome next = call("r2");
    assertEquals(next.body(), "well r2", name + ": " + next);
  }

  /** A second response with the id of the next request is not that request's response. */
  @Test
  public void copyWithTheIdOfTheNextRequest() throws Exception {
    answerInTurn(success("r0") + success("r1").replace("well", "evil"), failure("r1"));
    assertEquals(call("r0").body(), "well r0");
    assertOwnOrLost(call("r1"), failure("r1"), "same read");
    closeIdle();
    answerInTurn(
        success("r2") + ScriptedTarget.PAUSE + success("r3").replace("well", "evil"),
        failure("r3"));
    assertEquals(call("r2").body(), "well r2");
    TimeUnit.MILLISECONDS.sleep(100);
    assertOwnOrLost(call("r3"), failure("r3"), "while idle");
  }

  /** Responses to HEAD, whose length announces no body. */
  @DataProvider
  public Object[][] headResponses() {
    String head = success("r1").replace("well r1", "");
    return new Object[][] {
      {"sound", head},
      {"copy first", success("r0") + head},
      {"copy of a HEAD first", success("r0").replace("well r0", "") + head},
      {"with a body", success("r1")},
      {"chunked", head.replaceAll("Content-Length: .*", "Transfer-Encoding: chunked")},
      {
        "chunked with a body",
        head.replaceAll("Content-Length: .*", "Transfer-Encoding: chunked")
            + "4\r\nevil\r\n0\r\n\r\n"
      },
    };
  }

  /** A body that follows the response to HEAD is neither passed on nor the next response. */
  @Test(dataProvider = "headResponses")
  public void responseToHeadHasNoBody(String name, String response) throws Exception {
    answerInTurn(success("r0"), response, success("r2"));
    assertEquals(call("r0").status(), 200);
    Collector collector = new Collector();
    loop.execute(
        () ->
            pool.send(target.address(), "r1", request(HttpMethod.HEAD), Long.MAX_VALUE, collector));
    Outcome outcome = collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
    assertFalse(outcome.body().contains("evil") || outcome.body().contains("well"), name);
    Outcome next = call("r2");
    assertEquals(next.body(), "well r2", name + ": " + next);
  }

  /** Bytes of another response inside a chunked one, or after its end. */
  @DataProvider
  public Object[][] chunkedResponses() {
    String chunked = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
    return new Object[][] {
      {"head between chunks", chunked + "4\r\nwell\r\n" + success("r0") + "0\r\n\r\n", false},
      {"response in a chunk", chunked + "9\r\nwell" + success("r0") + "\r\n0\r\n\r\n", false},
      {"response instead of the last line", chunked + "4\r\nwell\r\n0\r\n" + success("r0"), true},
      {"response after the size", chunked + "4" + success("r0") + "\r\nwell\r\n0\r\n\r\n", false},
      {"response after the end", chunked + "4\r\nwell\r\n0\r\n\r\n" + success("r0"), true},
      {"last chunk twice", chunked + "4\r\nwell\r\n0\r\n\r\n0\r\n\r\n", true},
    };
  }

  /** Bytes of another response inside a chunked one lose it; after its end they are dropped. */
  @Test(dataProvider = "chunkedResponses")
  public void bytesInAChunkedResponse(String name, String response, boolean whole)
      throws Exception {
    answerInTurn(success("r0"), response, success("r2"));
    assertEquals(call("r0").status(), 200);
    Outcome outcome = call("r1");
    assertEquals(outcome.failure() == null, whole, name + ": " + outcome);
    assertEquals(outcome.body(), whole ? "well" : "", name);
    Outcome next = call("r2");
    assertEquals(next.body(), "well r2", name + ": " + next);
  }
}
