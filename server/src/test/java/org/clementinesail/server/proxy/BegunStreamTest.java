package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinesail.core.limits.RetryBudget;
import org.testng.annotations.Test;

/** Tests that a stream which has begun is not cut while its time allows another attempt. */
public final class BegunStreamTest extends ProxyTest {
  @Override
  RoutingState.Settings settings() {
    return new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0.5, 40);
  }

  private static String events(int from, int to) {
    StringBuilder events = new StringBuilder();
    for (int i = from; i <= to; i++) {
      events.append(ContinuedStreamTest.event(i));
    }
    return events.toString();
  }

  private static String broken() {
    String events = events(1, 2);
    return EVENT_STREAM_HEAD
        + "Transfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(events.length())
        + "\r\n"
        + events
        + "\r\n"
        + ScriptedTarget.RESET;
  }

  private static String rest() {
    String events = events(3, 4);
    return EVENT_STREAM_HEAD + "Content-Length: " + events.length() + "\r\n\r\n" + events;
  }

  private static boolean isStream(String request) {
    return request.startsWith("POST /stream");
  }

  private CompletableFuture<Received> receiveStream() {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return receive("/stream/x", "");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  private void assertWhole(Received received) {
    String seen = received + logged();
    assertTrue(received.complete(), seen);
    assertEquals(received.heads(), 1, seen);
    for (int i = 1; i <= 4; i++) {
      assertEquals(received.text().split("data: e" + i + "\n", -1).length, 2, seen);
    }
  }

  /** A stream is cut at once as targets refused its rest four times, within a tenth of a second. */
  @Test
  public void refusalsOfABusyMomentCutNoStream() throws Exception {
    startTargets(REFUSAL);
    AtomicInteger streams = new AtomicInteger();
    first.script = request -> streams.incrementAndGet() == 1 ? broken() : REFUSAL;
    second.script = request -> REFUSAL;
    CompletableFuture<Received> stream = receiveStream();
    TimeUnit.MILLISECONDS.sleep(600);
    first.script = request -> rest();
    second.script = first.script;
    assertWhole(stream.get());
  }

  private void useUpRetries() {
    RetryBudget budget = routing.retryBudget("s");
    boolean taken;
    do {
      taken = budget.tryAcquireRetry();
    } while (taken);
  }

  /** A stream is cut at once as others have used up the budget of retries. */
  @Test
  public void emptyRetryBudgetCutsNoStream() throws Exception {
    startTargets(OK_RESPONSE);
    first.script = request -> isStream(request) ? broken() : OK_RESPONSE;
    second.script = request -> isStream(request) ? rest() : OK_RESPONSE;
    loop.submit(this::useUpRetries).sync();
    CompletableFuture<Received> stream = receiveStream();
    TimeUnit.MILLISECONDS.sleep(300);
    assertEquals(second.requests.size(), 0, logged());
    for (int i = 0; i < 8; i++) {
      call("GET", "/lookup/x", "", "");
    }
    assertWhole(stream.get());
  }
}
