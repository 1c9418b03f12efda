package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinesail.core.ratelimits.Permits;
import org.testng.annotations.Test;

/** Tests that targets get no more requests than the limits that they name in answers allow. */
public class LimitedTargetTest extends ProxyTest {
  private static String limitedTo(String perSecond) {
    return OK_RESPONSE.replaceFirst("\r\n", "\r\nLimit: " + perSecond + "\r\n");
  }

  private void callFor(long millis) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() - end < 0) {
      assertEquals(status(call("GET", "/safe/x", "", "")), 200);
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /** A target that names a limit gets the requests of four seconds within it, others the rest. */
  @Test
  public void targetGetsNoMoreThanItsLimitAllows() throws Exception {
    startTargets(limitedTo("2"));
    callFor(3_000);
    int before = first.requests.size();
    callFor(4_000);
    int sent = first.requests.size() - before;
    assertTrue(sent <= 1.5 * 2 * 4 + 5, sent + " requests in 4 s");
    assertTrue(sent >= 2, sent + " requests in 4 s");
    assertTrue(second.requests.size() > 50, second.requests.size() + " requests to the other");
  }

  /** Callers are refused at once if all targets have reached their limits. */
  @Test
  public void callersAreRefusedAtOnceIfAllTargetsReachedTheirLimits() throws Exception {
    startTargets(limitedTo("0.1"));
    second.script = request -> limitedTo("0.1");
    loop.submit(() -> proxy.rateLimitReports().receiveGrants(List.of())).sync();
    call("GET", "/safe/x", "", "");
    call("GET", "/safe/x", "", "");
    int sent = first.requests.size() + second.requests.size();
    long start = System.nanoTime();
    String response = call("GET", "/safe/x", "", "");
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertEquals(status(response), 503);
    assertTrue(millis < 200, "refused after " + millis + " ms");
    Matcher retryAfter = Pattern.compile("(?i)retry-after: ([0-9.]+)").matcher(response);
    assertTrue(retryAfter.find(), response);
    assertTrue(Double.parseDouble(retryAfter.group(1)) >= 2, response);
    assertEquals(first.requests.size() + second.requests.size(), sent);
  }

  /** A failure that a target has answered is passed on if no other target has a permit left. */
  @Test
  public void failureIsPassedOnIfLimitsLeaveNoRetry() throws Exception {
    String failure = limitedTo("0.1").replace("200 OK", "500 Broken");
    startTargets(failure);
    second.script = request -> failure;
    loop.submit(() -> proxy.rateLimitReports().receiveGrants(List.of())).sync();
    assertEquals(status(call("GET", "/safe/x", "", "")), 500);
    Permits.Grant grant = new Permits.Grant(1, "t1", 1, 1);
    loop.submit(() -> proxy.rateLimitReports().receiveGrants(List.of(grant))).sync();
    assertEquals(status(call("GET", "/safe/x", "", "")), 500);
  }

  /** The first answer without a limit ends it. */
  @Test
  public void answerWithoutLimitEndsIt() throws Exception {
    startTargets(limitedTo("0.1"));
    call("GET", "/safe/x", "", "");
    first.script = request -> OK_RESPONSE;
    Permits.Grant grant = new Permits.Grant(1, "t1", 1, 1);
    loop.submit(() -> proxy.rateLimitReports().receiveGrants(List.of(grant))).sync();
    call("GET", "/safe/x", "", "");
    int before = first.requests.size();
    for (int i = 0; i < 10; i++) {
      assertEquals(status(call("GET", "/safe/x", "", "")), 200);
    }
    assertEquals(first.requests.size(), before + 10);
  }
}
