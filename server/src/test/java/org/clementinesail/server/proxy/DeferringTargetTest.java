package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that targets get no requests until the time that their refusal names. */
public class DeferringTargetTest extends ProxyTest {
  private static String with(String response, String header) {
    return response.replaceFirst("\r\n", "\r\n" + header + "\r\n");
  }

  /** A target that refused until later gets no request before, and requests after. */
  @Test
  public void deferringTargetGetsNoRequestsUntilItsTime() throws Exception {
    startTargets(with(REFUSAL, "Retry-After: 0.8"));
    long before = System.nanoTime();
    assertEquals(status(call("GET", "/safe/x", "", "")), 200);
    first.script = request -> OK_RESPONSE;
    while (System.nanoTime() - before < TimeUnit.MILLISECONDS.toNanos(600)) {
      assertEquals(status(call("GET", "/safe/x", "", "")), 200);
      assertEquals(first.requests.size(), 1);
    }
    TimeUnit.MILLISECONDS.sleep(1_200);
    assertEquals(status(call("GET", "/safe/x", "", "")), 200);
    assertEquals(first.requests.size(), 2);
  }

  /** If all targets refuse until later, callers are refused at once and told when to come back. */
  @Test
  public void callersAreRefusedAtOnceWhileAllTargetsDefer() throws Exception {
    startTargets(with(REFUSAL, "Retry-After: 40"));
    second.script = request -> with(REFUSAL, "Retry-After: 30");
    assertEquals(status(call("GET", "/safe/x", "", "")), 503);
    int sent = first.requests.size() + second.requests.size();
    assertEquals(sent, 2);
    long before = System.nanoTime();
    String response = call("GET", "/safe/x", "", "");
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
    assertTrue(millis < 200, "refused after " + millis + " ms");
    assertEquals(status(response), 503);
    Matcher retryAfter = Pattern.compile("(?i)retry-after: ([0-9.]+)").matcher(response);
    assertTrue(retryAfter.find(), response);
    double seconds = Double.parseDouble(retryAfter.group(1));
    assertTrue(seconds > 29 && seconds < 40, response);
    assertEquals(first.requests.size() + second.requests.size(), sent);
  }

  /** Values of Retry-After that no target means. */
  @DataProvider
  public Object[][] garbledTimes() {
    return new Object[][] {
      {"soon"},
      {""},
      {"-5"},
      {"NaN"},
      {"Infinity"},
      {"1e400"},
      {"9".repeat(400)},
      {"99999999"},
      {"0x10"},
      {"10, 20"},
      {"Wed, 21 Oct 2099 07:28:00 GMT"},
    };
  }

  /** A time that can't be read, or that no target means, takes no target out of use. */
  @Test(dataProvider = "garbledTimes")
  public void garbledTimeDefersNothing(String value) throws Exception {
    startTargets(with(REFUSAL, "Retry-After: " + value));
    assertEquals(status(call("GET", "/safe/x", "", "")), 200, value);
    call("GET", "/safe/x", "", "");
    assertEquals(first.requests.size(), 2, value);
  }

  /** Only a refusal with status 503 defers; other statuses use the header for other purposes. */
  @Test
  public void otherStatusDefersNothing() throws Exception {
    startTargets(with(OK_RESPONSE, "Retry-After: 30"));
    call("GET", "/safe/x", "", "");
    call("GET", "/safe/x", "", "");
    assertEquals(first.requests.size(), 2);
  }
}
