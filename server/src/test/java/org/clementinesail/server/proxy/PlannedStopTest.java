package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what callers get while a VM stops as planned. */
public final class PlannedStopTest extends ProxyTest {
  private static final int ROUNDS = 100;
  private static final int CALLERS = 3;

  private final AtomicInteger number = new AtomicInteger();
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

  private boolean idleAfterStop(long minIdleNanos) throws Exception {
    return loop.submit(() -> proxy.stopAcceptingAndCheckIdle(minIdleNanos)).get();
  }

  /** Sends requests on new connections until none is accepted; returns the unanswered ones. */
  private List<String> callUntilClosed() {
    List<String> unanswered = new ArrayList<>();
    Random pauses = new Random(number.get());
    while (true) {
      Uninterruptibles.sleepUninterruptibly(Duration.ofNanos(pauses.nextInt(8_000_000)));
      String id = "n" + number.incrementAndGet();
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        String request = "POST /once/x HTTP/1.1\r\nHost: shop\r\nId: " + id + "\r\n\r\n";
        socket.setSoTimeout(2_000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        byte[] answer = socket.getInputStream().readNBytes(OK_RESPONSE.length() / 2);
        if (answer.length < OK_RESPONSE.length() / 2) {
          unanswered.add(id);
        }
      } catch (java.net.ConnectException e) {
        return unanswered;
      } catch (IOException e) {
        unanswered.add(id);
      }
    }
  }

  /** A request on a connection that is accepted while the port closes is answered. */
  @Test
  public void requestAcceptedWhileThePortClosesIsAnswered() throws Exception {
    startTargets(OK_RESPONSE);
    List<String> sent = new CopyOnWriteArrayList<>();
    List<String> cut = new ArrayList<>();
    first.script =
        request -> {
          sent.add(request);
          Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(2));
          return OK_RESPONSE;
        };
    for (int round = 0; round < ROUNDS; round++) {
      List<Future<List<String>>> unanswered = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        unanswered.add(callers.submit(this::callUntilClosed));
      }
      TimeUnit.MILLISECONDS.sleep(10);
      while (!idleAfterStop(0)) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      // The process ends shortly after.
      TimeUnit.MILLISECONDS.sleep(3);
      loop.submit(proxy::close).sync();
      for (Future<List<String>> ids : unanswered) {
        cut.addAll(ids.get(10, TimeUnit.SECONDS));
      }
      proxy.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }
    cut.removeIf(id -> sent.stream().noneMatch(request -> request.contains("Id: " + id + "\r\n")));
    assertEquals(cut, List.of(), "passed on, unanswered; of " + sent.size());
  }

  /** When the grace period is over, each request in progress gets a status. */
  @Test
  public void requestsInProgressAtTheEndGetAStatus() throws Exception {
    startTargets(ScriptedTarget.HANG);
    Future<String> unanswered = callers.submit(() -> call("POST", "/once/x", "", "pay"));
    while (first.requests.isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertFalse(idleAfterStop(0));
    assertEquals(loop.submit(proxy::endRequests).get(), 1);
    assertEquals(status(unanswered.get(5, TimeUnit.SECONDS)), 504);
    while (!idleAfterStop(0)) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  /** A request that was not sent to a target is refused, as it has not run. */
  @Test
  public void waitingRequestsAtTheEndAreRefused() throws Exception {
    applyDesiredState();
    Future<String> waiting = callers.submit(() -> call("POST", "/once/x", "", "pay"));
    while (loop.submit(proxy::requestsInProgress).get() == 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    loop.submit(proxy::endRequests).sync();
    String response = waiting.get(5, TimeUnit.SECONDS);
    assertEquals(status(response), 503);
    assertTrue(response.contains("Retry-After"), response);
  }

  /** A request that comes late is sent to a target only if its deadline is before the end. */
  @Test
  public void lateRequestThatMayBeCutOffIsRefused() throws Exception {
    startTargets(OK_RESPONSE);
    drain(0, 600);
    String refused = call("POST", "/once/x", "", "pay");
    assertEquals(status(refused), 503);
    assertTrue(refused.contains("Retry-After"), refused);
    assertEquals(first.requests.size(), 0);
    assertEquals(status(call("POST", "/once/x", "Timeout-Ms: 300\r\n", "pay")), 200);
  }

  /** Requests that come before callers can have heard of the stop are served. */
  @Test
  public void earlyRequestIsServedWhateverItsDeadline() throws Exception {
    startTargets(OK_RESPONSE);
    drain(5_000, 600);
    assertEquals(status(call("POST", "/once/x", "", "pay")), 200);
  }

  /** A request that waited behind another one on its connection is not begun at the end. */
  @Test
  public void pipelinedRequestIsNotBegunAtTheEnd() throws Exception {
    startTargets(ScriptedTarget.HANG);
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      String request = "POST /once/x HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n";
      String both = request + "Id: p1\r\n\r\n" + request + "Id: p2\r\n\r\n";
      socket.getOutputStream().write(both.getBytes(StandardCharsets.US_ASCII));
      while (first.requests.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      drain(0, 0);
      loop.submit(proxy::endRequests).sync();
      socket.setSoTimeout(5_000);
      String answers =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(answers.matches("(?s)HTTP/1.1 504 .*HTTP/1.1 503 .*"), answers);
      assertEquals(first.requests.size(), 1);
    }
  }
}
