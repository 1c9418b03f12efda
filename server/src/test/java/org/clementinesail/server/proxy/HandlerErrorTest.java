package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that an error in the proxy itself leaves no request without an answer. */
public final class HandlerErrorTest extends ProxyTest {
  private ExecutorService callers = Executors.newCachedThreadPool();

  /** Starts the threads of the callers. */
  @BeforeMethod
  public void startCallers() {
    callers = Executors.newCachedThreadPool();
  }

  /** Ends them. */
  @AfterMethod(alwaysRun = true)
  public void stopCallers() {
    callers.shutdownNow();
  }

  private static void assertRefused(String response) {
    assertEquals(status(response), 503, response);
    assertTrue(response.contains("Retry-After"), response);
  }

  /** A request whose headers cause an error gets 503. */
  @Test
  public void errorWhileReadingTheHeadersIsAnswered() throws Exception {
    startTargets(OK_RESPONSE);
    assertRefused(call("POST", "/once/x", "Timeout-Ms: soon\r\n", "pay"));
    assertEquals(first.requests.size(), 0);
  }

  /** A request that causes an error when it is to be sent gets 503. */
  @Test
  public void errorBeforeTheRequestIsSentIsAnswered() throws Exception {
    startTargets(OK_RESPONSE);
    assertRefused(call("POST", "/once/x", ShortHeaderDialect.ERROR + ": 1\r\n", "pay"));
    assertEquals(first.requests.size(), 0);
  }

  /** A request that waits for a target is refused at once if it causes an error then. */
  @Test
  public void errorOfAWaitingRequestEndsOnlyThatOne() throws Exception {
    applyDesiredState();
    Future<String> faulty =
        callers.submit(() -> call("POST", "/once/x", ShortHeaderDialect.ERROR + ": 1\r\n", "pay"));
    awaitRequests(1);
    Future<String> sound = callers.submit(() -> call("POST", "/once/x", "", "pay"));
    awaitRequests(2);
    first.script = request -> OK_RESPONSE;
    addTarget("t1", first, "a");
    assertRefused(faulty.get(5, TimeUnit.SECONDS));
    assertEquals(status(sound.get(5, TimeUnit.SECONDS)), 200);
  }

  private void awaitRequests(int count) throws Exception {
    while (loop.submit(proxy::requestsInProgress).get() < count) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }
}
