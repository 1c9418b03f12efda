package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an exception on the way of a response leaves no caller without an end. */
public final class ResponseFailureTest extends ProxyTest {
  /** The timeout of the routes, and half a second. */
  private static final long MAX_MILLIS = 1_400;

  private volatile String failing = "";

  private void failIf(String step) {
    if (failing.equals(step)) {
      throw new IllegalStateException("failing step: " + step);
    }
  }

  @Override
  ShortHeaderDialect dialect() {
    return new ShortHeaderDialect() {
      @Override
      public void prepareForTarget(HttpHeaders headers, ForwardingInfo forwarding) {
        failIf("send");
        super.prepareForTarget(headers, forwarding);
      }

      @Override
      public boolean isRefusal(HttpResponse response) {
        failIf("head");
        return super.isRefusal(response);
      }

      @Override
      public Optional<String> faultyAddress(HttpResponse response) {
        failIf("refusal");
        return super.faultyAddress(response);
      }

      @Override
      public void setRetryAfter(HttpHeaders headers, double seconds) {
        failIf("own refusal");
        super.setRetryAfter(headers, seconds);
      }
    };
  }

  /** Steps of a request that fail, its path, and what its target answers. */
  @DataProvider
  public Object[][] steps() {
    String badHeader = "Proof: p\r\nBad\u0001Name: 1\r\n";
    String stream = EVENT_STREAM_HEAD.replace("Proof: p\r\n", badHeader);
    return new Object[][] {
      {"send", "/once/x", OK_RESPONSE},
      {"head", "/once/x", OK_RESPONSE},
      {"refusal", "/once/x", REFUSAL},
      {"own refusal", "/once/x", REFUSAL},
      {"header", "/once/x", OK_RESPONSE.replace("Proof: p\r\n", badHeader)},
      {
        "header of a stream", "/fragile/x", stream + "\r\nid: 1\ndata: e1\n\n" + ScriptedTarget.HANG
      },
    };
  }

  /** The caller gets an error status or a closed connection, and the log says why. */
  @Test(dataProvider = "steps")
  public void exceptionEndsTheRequest(String step, String path, String script) throws Exception {
    startTargets(script);
    second.script = request -> script;
    failing = step;
    Received received = receive(path, "Connection: close\r\n");
    String seen = step + ": " + received + logged();
    assertTrue(received.closed(), seen);
    assertTrue(received.millis() < MAX_MILLIS, seen);
    assertFalse(received.text().contains("HTTP/1.1 200"), seen);
    String event = step.equals("send") ? "refused" : "failed";
    awaitLog("\"event\":\"" + event + "\"", seen);
    assertEquals(first.requests.isEmpty(), step.equals("send"), seen);
  }

  private void awaitLog(String text, String seen) throws Exception {
    for (int i = 0; i < 100 && !logged().contains(text); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertTrue(logged().contains(text), seen);
  }

  /** The next request of another caller is served, and nothing counts as in progress. */
  @Test(dataProvider = "steps")
  public void exceptionLeavesNoRequestInProgress(String step, String path, String script)
      throws Exception {
    startTargets(script);
    second.script = request -> script;
    failing = step;
    receive(path, "Connection: close\r\n");
    assertEquals(loop.submit(proxy::requestsInProgress).get(), Integer.valueOf(0), step);
    failing = "";
    first.script = request -> OK_RESPONSE;
    second.script = request -> OK_RESPONSE;
    assertTrue(call("GET", "/safe/x", "", "").endsWith("well"), step);
  }

  /** A request whose headers cannot be read is refused, also behind another one. */
  @Test
  public void unreadableHeadersAreRefusedAndEndTheConnection() throws Exception {
    startTargets(OK_RESPONSE);
    String next =
        "Content-Length: 0\r\n\r\nPOST /once/x HTTP/1.1\r\nHost: shop\r\nTimeout-Ms: x\r\n";
    Received received = receive("/once/x", next);
    assertTrue(received.closed(), received.toString());
    assertEquals(received.heads(), 2, received.toString());
    assertTrue(received.text().contains("HTTP/1.1 503 "), received.toString());
    awaitLog("internal error", received.toString());
  }
}
