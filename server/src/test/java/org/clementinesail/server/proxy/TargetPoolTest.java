package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a request on a kept connection gets its own response or a failure. */
public final class TargetPoolTest extends PoolTest {
  /** First and second response, whose heads must not be joined. */
  @DataProvider
  public Object[][] pairs() {
    return new Object[][] {
      {success("r0"), failure("r1")},
      {failure("r0"), success("r1")},
      {refusal("r0"), success("r1")},
      {success("r0"), refusal("r1")},
    };
  }

  /** Bytes that come with the end of a response, cut at each position, spoil no later response. */
  @Test(dataProvider = "pairs")
  public void bytesWithTheEndOfAResponse(String earlier, String later) throws Exception {
    for (int cut = 1; cut <= earlier.length(); cut++) {
      answerInTurn(earlier + earlier.substring(0, cut), later, success("r2"));
      assertOwnOrLost(call("r0"), earlier, "cut " + cut);
      Outcome outcome = call("r1");
      assertOwnOrLost(outcome, later, "cut " + cut);
      assertEquals(outcome.failure(), null, "cut " + cut + ": " + outcome.reason());
      closeIdle();
    }
  }

  /** Bytes that come after the next request, cut at each position, spoil no later response. */
  @Test(dataProvider = "pairs")
  public void bytesAfterTheNextRequest(String earlier, String later) throws Exception {
    for (int cut = 1; cut <= earlier.length(); cut++) {
      answerInTurn(earlier, earlier.substring(0, cut) + later, success("r2"));
      assertOwnOrLost(call("r0"), earlier, "cut " + cut);
      assertOwnOrLost(call("r1"), later, "cut " + cut);
      assertOwnOrLost(call("r2"), success("r2"), "cut " + cut);
      closeIdle();
    }
  }

  /** Bytes that come in a packet of their own, before the response, spoil no response. */
  @Test
  public void bytesBeforeTheResponse() throws Exception {
    for (int cut : new int[] {1, 9, 12, 15, 17, 30, 60, 90}) {
      String early = success("r0").substring(0, cut) + ScriptedTarget.PAUSE;
      answerInTurn(success("r0"), early + failure("r1"));
      assertOwnOrLost(call("r0"), success("r0"), "cut " + cut);
      assertOwnOrLost(call("r1"), failure("r1"), "cut " + cut);
      closeIdle();
    }
  }

  /** Bytes that come while a connection is idle. */
  @DataProvider
  public Object[][] idleBytes() {
    return new Object[][] {
      {"one byte", "H"},
      {"line end", "\r\n"},
      {"space", " "},
      {"part of a head", "HTTP/1.1 200 OK\r\nContent-Ty"},
      {"whole head", success("r0").replace("well r0", "")},
      {"whole response", success("r0")},
    };
  }

  /** A connection that sends bytes while it is idle is not used for another request. */
  @Test(dataProvider = "idleBytes")
  public void bytesWhileIdle(String name, String bytes) throws Exception {
    answerInTurn(success("r0") + ScriptedTarget.PAUSE + bytes, failure("r1"));
    assertEquals(call("r0").status(), 200);
    TimeUnit.MILLISECONDS.sleep(120);
    Outcome outcome = call("r1");
    assertEquals(outcome.status(), 500, name + ": " + outcome.reason());
    assertEquals(target.connections(), 2, name);
  }

  /** Heads that are no response to the request on a kept connection. */
  @DataProvider
  public Object[][] strangeHeads() {
    String head = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n";
    String end = "Content-Length: 4\r\n\r\nevil";
    return new Object[][] {
      {"no id", "HTTP/1.1 200 OK\r\nProof: p\r\n" + end},
      {"refusal without id", "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"},
      {"two ids", head + "Id: r1\r\n" + end},
      {"own id after another", head.replace("Id:", "Id: r0\r\nId:") + end},
      {"two proofs", head + "Proof: q\r\n" + end},
      {"two lengths", head + "Content-Length: 4\r\n" + end},
      {"two types", head + "Content-Type: a/b\r\nContent-Type: a/b\r\n" + end},
      {"status line in reason", head.replace("OK", "OHTTP/1.1 500 No") + end},
      {"status line in value", head + "X-Own: aHTTP/1.1 500 No\r\n" + end},
      {"status line as header", head + "HTTP/1.1 500 No\r\n" + end},
      {"status line with colon as header", head + "HTTP/1.1 500 No: 1\r\n" + end},
      {"space in name", head + "X Own: 1\r\n" + end},
      {"space before colon", head + "X-Own : 1\r\n" + end},
      {"folded line", head + " more\r\n" + end},
      {"empty name", head + ": 1\r\n" + end},
      {"bare CR", head + "X-Own: a\rb\r\n" + end},
      {"bare LF", head + "X-Own: a\nX-More: b\r\n" + end},
      {"space before the status line", " " + head + end},
      {"line end before the status line", "\r\n" + head + end},
      {"other version", head.replace("1.1", "2.0") + end},
      {"status of two digits", head.replace("200", "20") + end},
      {"status of four digits", head.replace("200", "2000") + end},
      {"status out of range", head.replace("200", "600") + end},
      {"two spaces", head.replace(" 200", "  200") + end},
      {"switching protocols", head.replace("200 OK", "101 Switching") + end},
    };
  }

  /** A strange head on a kept connection is a lost response; the connection is closed. */
  @Test(dataProvider = "strangeHeads")
  public void strangeHeadIsALostResponse(String name, String bytes) throws Exception {
    answerInTurn(success("r0"), bytes, success("r2"));
    assertEquals(call("r0").status(), 200);
    Outcome outcome = call("r1");
    assertEquals(outcome.failure(), ResponseListener.FailureKind.INCOMPLETE, name + ": " + outcome);
    assertEquals(call("r2").body(), "well r2", name);
    assertEquals(target.connections(), 2, name);
  }

  /** Other requests' responses that hide the own one in their body. */
  @DataProvider
  public Object[][] swallowing() {
    String length = "HTTP/1.1 200 OK\r\nId: r0\r\nProof: p\r\nContent-Length: 9000\r\n\r\n";
    return new Object[][] {
      {"length", length},
      {"chunk", length.replace("Content-Length: 9000", "Transfer-Encoding: chunked") + "9000\r\n"},
      {"until closed", length.replace("Content-Length: 9000\r\n", "")},
    };
  }

  /** A response that hides in another request's body is lost soon, long before any deadline. */
  @Test(dataProvider = "swallowing")
  public void swallowedResponseIsLostSoon(String name, String foreign) throws Exception {
    answerInTurn(success("r0"), foreign + success("r1"));
    assertEquals(call("r0").status(), 200);
    Collector collector = new Collector();
    send("r1", collector);
    try {
      Outcome outcome = collector.outcome.get(3, TimeUnit.SECONDS);
      assertNotNull(outcome.failure(), name + ": " + outcome);
    } catch (TimeoutException e) {
      throw new AssertionError(name + ": no end after 3 s", e);
    }
  }

  /** After a skipped response the own one counts, but the connection is not kept. */
  @Test
  public void connectionWithSkippedResponseIsNotKept() throws Exception {
    answerInTurn(success("r0"), success("r0") + success("r1"), success("r2"));
    assertEquals(call("r0").status(), 200);
    assertEquals(call("r1").body(), "well r1");
    assertEquals(call("r2").body(), "well r2");
    assertEquals(target.connections(), 2);
  }

  /** A connection without additional bytes is kept. */
  @Test
  public void soundConnectionIsKept() throws Exception {
    for (int i = 0; i < 20; i++) {
      String id = "r" + i;
      answerInTurn(success(id));
      assertEquals(call(id).body(), "well " + id);
    }
    assertEquals(target.connections(), 1);
  }

  /** Requests that no id tells apart use no kept connection. */
  @Test
  public void requestsWithoutIdShareNoConnection() throws Exception {
    answerInTurn(success("r0").replace("Id: r0\r\n", ""));
    assertEquals(call("").body(), "well r0");
    assertEquals(call("").body(), "well r0");
    assertEquals(target.connections(), 2);
  }

  /** A late copy of the first answer to a request could not be told from the second. */
  @Test
  public void requestIsSentOnceOnAConnection() throws Exception {
    answerInTurn(refusal("r0"), success("r1"), success("r0"));
    assertEquals(call("r0").status(), 503);
    assertEquals(call("r1").status(), 200);
    assertEquals(target.connections(), 1);
    assertEquals(call("r0").status(), 200);
    assertEquals(target.connections(), 2);
  }

  /** Position of a byte in a head, and the byte that takes its place. */
  @DataProvider
  public Object[][] spoilingBytes() {
    return new Object[][] {{0}, {1}, {9}, {10}, {11}, {12}, {13}, {32}, {58}, {127}, {133}, {255}};
  }

  /** One spoilt byte of a head never yields a head that cannot be passed on. */
  @Test(dataProvider = "spoilingBytes")
  public void spoiltHeadIsValidOrLost(int spoilingByte) throws Exception {
    String sound = success("r0");
    for (int at = 0; at < sound.indexOf("\r\n\r\n"); at++) {
      String spoilt = sound.substring(0, at) + (char) spoilingByte + sound.substring(at + 1);
      answerInTurn(spoilt + ScriptedTarget.CLOSE);
      Collector collector = new Collector();
      send("r0", collector);
      Outcome outcome = collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
      if (outcome.failure() == null) {
        HttpHeaders validating = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        validating.set(collector.head.join().headers());
        assertEquals(outcome.status(), 200, "at " + at);
      }
    }
  }

  /** Where a listener throws. */
  @DataProvider
  public Object[][] throwingCallbacks() {
    return new Object[][] {{"head"}, {"content"}, {"complete"}};
  }

  /** An exception of a listener ends its request as failed; the next request is served. */
  @Test(dataProvider = "throwingCallbacks")
  public void exceptionOfAListenerIsItsFailure(String callback) throws Exception {
    answerInTurn(success("r0"), success("r1"));
    Collector collector =
        new Collector() {
          private void throwIf(String name) {
            if (callback.equals(name)) {
              throw new IllegalStateException("listener failed");
            }
          }

          @Override
          public void onHead(HttpResponse response) {
            throwIf("head");
            super.onHead(response);
          }

          @Override
          public void onContent(ByteBuf content) {
            throwIf("content");
            super.onContent(content);
          }

          @Override
          public void onComplete() {
            throwIf("complete");
            super.onComplete();
          }
        };
    send("r0", collector);
    Outcome outcome = collector.outcome.get(5, TimeUnit.SECONDS);
    assertEquals(outcome.failure(), ResponseListener.FailureKind.INCOMPLETE, outcome.toString());
    assertEquals(call("r1").body(), "well r1");
  }

  /** A response with a request id is never taken for a report. */
  @Test
  public void responseToARequestIsNoReport() throws Exception {
    answerInTurn(success("r0"), failure("r0") + IdleEngineDialect.REPORT_RESPONSE);
    assertEquals(call("r0").status(), 200);
    assertEquals(callEngine().body(), "{}");
  }

  /** Reports share a connection with each other, and requests with no report. */
  @Test
  public void requestUsesNoConnectionOfReports() throws Exception {
    answerInTurn(IdleEngineDialect.REPORT_RESPONSE);
    assertEquals(callEngine().body(), "{}");
    assertEquals(callEngine().body(), "{}");
    assertEquals(target.connections(), 1);
    answerInTurn(success("r0"));
    assertEquals(call("r0").body(), "well r0");
    assertEquals(target.connections(), 2);
  }

  /** The response to HEAD has a length and no body; that to the next request is read whole. */
  @Test
  public void responseToHeadHasNoBody() throws Exception {
    answerInTurn(success("r0").replace("well r0", ""), success("r1"));
    Collector collector = new Collector();
    loop.execute(
        () ->
            pool.send(target.address(), "r0", request(HttpMethod.HEAD), Long.MAX_VALUE, collector));
    assertEquals(collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS).status(), 200);
    assertEquals(call("r1").body(), "well r1");
  }

  /** A response without length whose connection is reset, while reading is paused or not. */
  @DataProvider
  public Object[][] unframedEnds() {
    return Stream.of(false, true)
        .flatMap(
            paused ->
                Stream.of(
                    new Object[] {ScriptedTarget.CLOSE, paused},
                    new Object[] {ScriptedTarget.RESET, paused}))
        .toArray(Object[][]::new);
  }

  /** Without length or chunks, a closed connection ends a response and a reset one breaks it. */
  @Test(dataProvider = "unframedEnds")
  public void unframedResponseIsWholeOnlyIfClosed(String end, boolean paused) throws Exception {
    answerInTurn("HTTP/1.1 200 OK\r\nId: r0\r\n\r\nwe" + ScriptedTarget.PAUSE + "ll" + end);
    CompletableFuture<TargetCall> call = new CompletableFuture<>();
    Collector collector =
        new Collector() {
          @Override
          public void onHead(HttpResponse response) {
            super.onHead(response);
            if (paused) {
              call.join().setReading(false);
              loop.schedule(() -> call.join().setReading(true), 300, TimeUnit.MILLISECONDS);
            }
          }
        };
    loop.execute(
        () ->
            call.complete(
                pool.send(
                    target.address(), "r0", request(HttpMethod.GET), Long.MAX_VALUE, collector)));
    Outcome outcome = collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
    if (end.equals(ScriptedTarget.CLOSE)) {
      assertEquals(outcome.body(), "well", outcome.reason());
    } else {
      assertNotEquals(outcome.failure(), null, outcome.toString());
    }
    assertTrue(target.connections() == 1, "sent again");
  }
}
