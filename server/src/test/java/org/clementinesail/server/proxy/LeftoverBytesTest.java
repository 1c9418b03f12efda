package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that callers get no status and no bytes of another response of the same connection. */
public final class LeftoverBytesTest extends ProxyTest {
  private static final String FIRST = response("200 OK", "r0", "");
  private static final String SERVER_ERROR = response("500 Internal Server Error", "r1", "");
  private static final String REFUSED = response("503 Busy", "r1", "Not-Started: 1\r\n");
  private static final int CONTENT_TYPE_CUT = FIRST.indexOf("nt-Type");

  private static String response(String status, String id, String more) {
    String body = "text of " + id;
    return "HTTP/1.1 "
        + status
        + "\r\nContent-Type: text/plain\r\n"
        + more
        + "Id: "
        + id
        + "\r\nProof: p"
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Path, additional bytes, whether they come with the first response, and the second response. */
  @DataProvider
  public Object[][] cases() {
    List<Object[]> cases = new ArrayList<>();
    for (String path : List.of("/safe/x", "/once/x", "/stream/x", "/fragile/x")) {
      for (boolean early : new boolean[] {true, false}) {
        for (int cut : new int[] {1, 9, 15, 17, CONTENT_TYPE_CUT, FIRST.length()}) {
          String extra = FIRST.substring(0, cut);
          cases.add(new Object[] {path, extra, early, SERVER_ERROR});
          cases.add(new Object[] {path, extra, early, REFUSED});
        }
        String refusal = response("503 Busy", "r0", "Not-Started: 1\r\n");
        String cutRefusal = refusal.substring(0, refusal.indexOf("Id:") + 2);
        cases.add(new Object[] {path, cutRefusal, early, response("200 OK", "r1", "")});
        cases.add(new Object[] {path, cutRefusal, early, SERVER_ERROR});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** The caller gets its own response, another run's whole one, or a failure that is none. */
  @Test(dataProvider = "cases", timeOut = 20_000)
  public void nothingOfAnotherResponseReachesTheCaller(
      String path, String extra, boolean early, String second) throws Exception {
    applyDesiredState();
    addTarget("t1", first, "a");
    first.script =
        request -> {
          boolean isFirst = request.contains("Id: r0");
          return isFirst ? FIRST + (early ? extra : "") : (early ? "" : extra) + second;
        };
    String method = path.startsWith("/safe") ? "GET" : "POST";
    assertEquals(status(call(method, path, "Id: r0\r\n", "")), 200);
    String answer = call(method, path, "", "");
    boolean isSuccess = status(answer) / 100 == 2;
    assertFalse(isSuccess && !second.contains("200 OK"), answer);
    assertFalse(answer.contains("text of r0") || answer.contains("pr0"), answer);
    boolean repeatable = path.startsWith("/safe") || path.startsWith("/stream");
    if (status(answer) == 503 && !repeatable) {
      assertTrue(second.equals(REFUSED), "refused, and has run: " + answer);
    }
    if (!repeatable && !second.equals(REFUSED)) {
      long runs = first.requests.stream().filter(r -> r.contains("Id: r1")).count();
      assertEquals(runs, 1, answer);
    }
  }

  /** A late copy of a refusal is not the answer to the second send: the request runs once. */
  @Test(timeOut = 20_000)
  public void lateCopyOfARefusalDoesNotRepeatTheRequest() throws Exception {
    applyDesiredState();
    addTarget("t1", first, "a");
    String success = response("200 OK", "r1", "");
    AtomicInteger runs = new AtomicInteger();
    first.script =
        request -> {
          if (first.requests.size() == 1) {
            return REFUSED;
          }
          runs.incrementAndGet();
          return (first.connections() == 1 ? REFUSED : "") + success;
        };
    assertEquals(status(call("POST", "/once/x", "", "pay")), 200);
    assertEquals(runs.get(), 1);
  }
}
