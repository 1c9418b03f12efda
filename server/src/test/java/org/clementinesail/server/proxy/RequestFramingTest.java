package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no request is run that was hidden in another one, and each gets its own answer. */
public final class RequestFramingTest extends ProxyTest {
  private static final int HIDDEN_TIMEOUT_MS = 300;
  private static final int ANSWER_TIMEOUT_MS = 10_000;
  private static final String START = " HTTP/1.1\r\nHost: shop\r\nId: ";
  private static final String HIDDEN = "GET /safe/evil" + START + "evil\r\n\r\n";

  private String exchange(String bytes, int timeoutMillis) throws IOException {
    StringBuilder text = new StringBuilder();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      for (int next = socket.getInputStream().read();
          next >= 0;
          next = socket.getInputStream().read()) {
        text.append((char) next);
      }
    } catch (SocketTimeoutException e) {
      // The connection is kept.
    }
    return text.toString();
  }

  private static String post(String headers, String body) {
    return "POST /once/x" + START + "r1\r\n" + headers + "\r\n\r\n" + body;
  }

  /** Requests whose end could be read in two ways; another request begins at one of them. */
  @DataProvider
  public Object[][] ambiguous() {
    String chunked = "0\r\n\r\n" + HIDDEN;
    String length = "Content-Length: " + chunked.length() + "\r\n";
    String coded = "Transfer-Encoding: chunked";
    return new Object[][] {
      {"length and chunks", post(length + coded, chunked)},
      {"chunks and length", post(coded + "\r\n" + length.strip(), chunked)},
      {"two lengths", post(length + "Content-Length: 0", HIDDEN)},
      {"two lengths, long one last", post("Content-Length: 0\r\n" + length.strip(), HIDDEN)},
      {"list of lengths", post("Content-Length: 0, " + HIDDEN.length(), HIDDEN)},
      {"length with a sign", post("Content-Length: +0", HIDDEN)},
      {"negative length", post("Content-Length: -1", HIDDEN)},
      {"length in hexadecimal", post("Content-Length: 0x0", HIDDEN)},
      {"empty length", post("Content-Length: ", HIDDEN)},
      {"unknown coding", post("Transfer-Encoding: gzip", HIDDEN)},
      {"unknown coding with chunks in its name", post("Transfer-Encoding: xchunked", HIDDEN)},
      {"chunks not last", post("Transfer-Encoding: chunked, identity", chunked)},
      {"two codings", post(coded + "\r\nTransfer-Encoding: identity", chunked)},
      {"coding twice", post(coded + "\r\n" + coded, chunked)},
      {"space before the colon", post("Transfer-Encoding : chunked", chunked)},
      {"tab before the coding", post("Transfer-Encoding:\u000bchunked", chunked)},
      {"bare CR before the length", post("X-Own: a\rContent-Length: " + HIDDEN.length(), HIDDEN)},
      {"space in the name", post("Content Length: " + HIDDEN.length(), HIDDEN)},
      {"NUL in a value", post("X-Own: a\0b\r\nContent-Length: 0", HIDDEN)},
      {"no colon", post("Content-Length" + HIDDEN.length(), HIDDEN)},
      {
        "chunks in version 1.0",
        post(coded, chunked).replace("HTTP/1.1\r\nHost", "HTTP/1.0\r\nHost")
      },
      {"line feed in a chunk extension", post(coded, "0;a\nb\r\n\r\n" + HIDDEN)},
      {"chunk size with a sign", post(coded, "+0\r\n\r\n" + HIDDEN)},
      {"chunk size with a prefix", post(coded, "0x0\r\n\r\n" + HIDDEN)},
      {"chunk without its line end", post(coded, "4\r\nwell0\r\n\r\n" + HIDDEN)},
      {"chunk longer than its size", post(coded, "2\r\nwell\r\n0\r\n\r\n" + HIDDEN)},
      {"huge chunk size", post(coded, "FFFFFFFFFFFFFFFF1\r\n\r\n" + HIDDEN)},
      {"not a request", "hello there\r\n\r\n" + HIDDEN},
      {"body too long", post("Content-Length: 99999999", "a".repeat(200) + HIDDEN)},
      {"request line in a header", post("X-Own: a\r\n" + HIDDEN.strip(), "")},
    };
  }

  /** A request that is hidden in one of unclear length is not run. */
  @Test(dataProvider = "ambiguous")
  public void hiddenRequestIsNotRun(String name, String bytes) throws Exception {
    startTargets(OK_RESPONSE);
    first.script = ProxyTest::identifiedResponse;
    String answer = exchange(bytes, HIDDEN_TIMEOUT_MS);
    for (String request : first.requests) {
      assertFalse(request.startsWith("GET /safe/evil"), name + ": " + first.requests);
    }
    assertTrue(answer.split("HTTP/1.1 ", -1).length - 1 <= 1, name + ": " + answer);
  }

  /** Requests in one packet, which need several kinds of answers. */
  @DataProvider
  public Object[][] pipelined() {
    String get = "GET /safe/x" + START;
    String end = "\r\n\r\n";
    String expecting = post("Content-Length: 3\r\nExpect: 100-continue", "pay");
    return new Object[][] {
      {"two", get + "a" + end + get + "b" + end, "a b"},
      {"body of GET", get + "a\r\nContent-Length: 3" + end + "pay" + get + "b" + end, "a b"},
      {
        "chunks",
        post("Transfer-Encoding: chunked", "3\r\npay\r\n0\r\n\r\n") + get + "b" + end,
        "r1 b"
      },
      {
        "trailer",
        post("Transfer-Encoding: chunked", "3\r\npay\r\n0\r\nX: y\r\n\r\n") + get + "b" + end,
        "r1 b"
      },
      {"expect, then GET", expecting + get + "b" + end, "r1 b"},
      {"GET, then expect", get + "b" + end + expecting, "b r1"},
      {"HEAD, then GET", get.replace("GET", "HEAD") + "a" + end + get + "b" + end, "a b"},
      {
        "expect, then HEAD, then GET",
        expecting + get.replace("GET", "HEAD") + "h" + end + get + "b" + end,
        "r1 h b"
      },
      {"line end between", get + "a" + end + "\r\n" + get + "b" + end, "a b"},
      {
        "stream, then expect",
        "POST /stream/x" + START + "s\r\nContent-Length: 0\r\n\r\n" + expecting,
        "s r1"
      },
    };
  }

  /** Each of several requests in one packet gets its own whole answer, in their order. */
  @Test(dataProvider = "pipelined")
  public void pipelinedRequestsGetTheirOwnAnswers(String name, String bytes, String ids)
      throws Exception {
    startTargets(OK_RESPONSE);
    first.script =
        request -> {
          String answer = identifiedResponse(request);
          if (request.startsWith("POST /stream")) {
            String head = EVENT_STREAM_HEAD.replace("Proof", "Id: s\r\nProof");
            return head
                + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n"
                + ScriptedTarget.PAUSE
                + "0\r\n\r\n";
          }
          return request.startsWith("HEAD") ? answer.replace("well", "") : answer;
        };
    String last = "GET /safe/x" + START + "last\r\nConnection: close\r\n\r\n";
    String answer = exchange(bytes + last, ANSWER_TIMEOUT_MS);
    StringBuilder found = new StringBuilder();
    for (String line : answer.split("\r\n")) {
      found.append(line.startsWith("Id: ") ? line.substring(4) + " " : "");
    }
    assertEquals(found.toString().strip(), ids + " last", name + ": " + answer);
    for (String part : answer.split("HTTP/1.1 200 OK\r\n", -1)) {
      boolean bodiless =
          part.contains("Id: h") || (name.startsWith("HEAD") && part.contains("Id: a"));
      if (part.contains("Id: ") && !bodiless && !part.contains("Id: s")) {
        assertTrue(part.contains("\r\n\r\nwell"), name + ": " + answer);
      }
    }
  }
}
