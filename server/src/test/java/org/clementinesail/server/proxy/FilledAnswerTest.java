package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get when the truncated answer to their request is filled by another one. */
public final class FilledAnswerTest extends ProxyTest {
  private static final int MISSING = 30;

  /** Length of the body, and whether the filling comes in two reads. */
  @DataProvider
  public Object[][] answers() {
    return new Object[][] {
      {1_000, false},
      {1_000, true},
      {60_000, false},
      {60_000, true},
      {200_000, false},
      {200_000, true},
    };
  }

  /** Answers the first request well and truncates the next ones, each filled by a copy. */
  private void truncateAnswers(int length, boolean pause) {
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger filled = new AtomicInteger();
    first.script =
        request -> {
          String whole = identifiedResponse(request);
          if (answered.getAndIncrement() == 0) {
            return whole;
          }
          String body = "a".repeat(length) + filled.getAndIncrement();
          String own = whole.replace(": 4\r\n\r\nwell", ": " + body.length() + "\r\n\r\n" + body);
          String filling =
              whole.substring(0, MISSING)
                  + (pause ? ScriptedTarget.PAUSE : "")
                  + whole.substring(MISSING);
          return own.substring(0, own.length() - MISSING) + filling;
        };
  }

  /** A whole answer is taken elsewhere; one that has been passed on in part ends broken. */
  @Test(dataProvider = "answers")
  public void filledAnswerNeverLooksComplete(int length, boolean pause) throws Exception {
    startTargets("");
    truncateAnswers(length, pause);
    assertEquals(status(call("POST", "/lookup/x", "Id: r0\r\n", "")), 200);
    String received = call("POST", "/lookup/x", "", "");
    String seen = received.substring(0, Math.min(300, received.length()));
    if (length <= 65_536) {
      assertTrue(received.endsWith("\r\n\r\nwell"), seen);
    } else {
      assertEquals(status(received), 200, seen);
      assertFalse(received.endsWith("0\r\n\r\n"), seen);
    }
    awaitLine("another response begins in the body");
  }

  private void awaitLine(String text) throws InterruptedException {
    // A thread of its own writes the log.
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!logged().contains(text) && System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertTrue(logged().contains(text), logged());
  }

  /** A long answer is whole although bytes that are no answer follow it. */
  @Test
  public void longAnswerWithAdditionalBytesLooksComplete() throws Exception {
    String body = "a".repeat(200_000);
    startTargets(
        "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 200000\r\n\r\n" + body + "garbage");
    String received = call("GET", "/lookup/x", "", "");
    assertTrue(received.endsWith("\r\n0\r\n\r\n"), received.length() + " characters");
    assertTrue(received.replaceAll("[^a]", "").length() >= body.length(), "bytes are missing");
  }

  /** Ends of a body after which further bytes are waited for. */
  @DataProvider
  public Object[][] ends() {
    return new Object[][] {{"HTTP/1."}, {"HTTP/1.1 200 OK\r\n"}};
  }

  /** A whole answer that is held back when the time of its request is over is passed on. */
  @Test(dataProvider = "ends")
  public void heldAnswerIsPassedOnAtTheDeadline(String end) throws Exception {
    addTarget("t1", first, "a");
    applyDesiredState();
    String body = "text " + end;
    first.script =
        request ->
            identifiedResponse(request)
                .replace(": 4\r\n\r\nwell", ": " + body.length() + "\r\n\r\n" + body);
    String answer = call("POST", "/once/x", "Id: e1\r\nTimeout-Ms: 150\r\n", "x");
    assertEquals(status(answer), 200, answer + logged());
  }
}
