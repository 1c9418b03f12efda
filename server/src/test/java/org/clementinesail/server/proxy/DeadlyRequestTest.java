package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.crashes.CrashRecord;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a request under which targets without layers end is refused, and others are not. */
public final class DeadlyRequestTest extends ProxyTest {
  private static final int TARGETS = 6;
  private static final String DEADLY = "deadly";
  private static final String TRUNCATED_HEAD = "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Le";
  private static final String TRUNCATED_BODY =
      "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 4\r\n\r\nwe";
  private static final String TRUNCATED_STREAM =
      EVENT_STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata:a\n\n\r\n";

  private final List<ScriptedTarget> targets = new ArrayList<>();
  private final List<String> deadlyRequests = new CopyOnWriteArrayList<>();
  private final Set<ScriptedTarget> ended = ConcurrentHashMap.newKeySet();
  private final List<CrashRecord> reported = new CopyOnWriteArrayList<>();
  private CountDownLatch firstEnd = new CountDownLatch(1);
  private ExecutorService callers = Executors.newCachedThreadPool();

  /** Starts targets that end under a request whose body is "deadly". */
  @BeforeMethod
  public void startFleet() throws Exception {
    callers = Executors.newCachedThreadPool();
    proxy.crashReports().sender(reported::addAll);
    applyDesiredState();
    for (int i = 0; i < TARGETS; i++) {
      addTarget(ScriptedTarget.CLOSE);
    }
  }

  private void addTarget(String lastBytes) throws Exception {
    ScriptedTarget target = new ScriptedTarget();
    target.script = request -> answer(target, request, lastBytes);
    addTarget("d" + targets.size(), target, "a");
    targets.add(target);
  }

  private String answer(ScriptedTarget target, String request, String lastBytes) {
    if (request.endsWith("slow")) {
      boolean oneEnded = Uninterruptibles.awaitUninterruptibly(firstEnd, Duration.ofSeconds(5));
      return oneEnded && !ended.contains(target) ? OK_RESPONSE : ScriptedTarget.CLOSE;
    } else if (!request.endsWith(DEADLY)) {
      return OK_RESPONSE;
    }
    deadlyRequests.add(request);
    ended.add(target);
    try {
      target.stopListening();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    firstEnd.countDown();
    return lastBytes;
  }

  /** Replaces the targets by ones that send some bytes as they end. */
  private void replaceTargets(String lastBytes) throws Exception {
    stopTargets();
    stop();
    start();
    proxy.crashReports().sender(reported::addAll);
    applyDesiredState();
    for (int i = 0; i < TARGETS; i++) {
      addTarget(lastBytes);
    }
  }

  /** Stops the targets and the threads of callers. */
  @AfterMethod(alwaysRun = true)
  public void stopFleet() throws Exception {
    callers.shutdownNow();
    stopTargets();
  }

  private void stopTargets() throws Exception {
    for (ScriptedTarget target : targets) {
      target.close();
    }
    targets.clear();
    ended.clear();
    firstEnd = new CountDownLatch(1);
    deadlyRequests.clear();
    reported.clear();
  }

  private int status(String path, String body) throws IOException {
    return ProxyTest.status(call("POST", path, "", body));
  }

  /** Paths of routes, and what the caller sees of the end of a target. */
  @DataProvider
  public Object[][] ends() {
    return new Object[][] {
      {"/safe/x", ScriptedTarget.CLOSE},
      {"/safe/x", ScriptedTarget.RESET},
      {"/safe/x", TRUNCATED_HEAD + ScriptedTarget.CLOSE},
      {"/safe/x", TRUNCATED_BODY + ScriptedTarget.RESET},
      {"/single/x", ScriptedTarget.RESET},
      {"/once/x", ScriptedTarget.RESET},
      {"/once/x", TRUNCATED_HEAD + ScriptedTarget.CLOSE},
      {"/once/x", ScriptedTarget.HANG},
      {"/fragile/x", TRUNCATED_STREAM + ScriptedTarget.CLOSE},
      {"/stream/x", TRUNCATED_STREAM + ScriptedTarget.RESET},
    };
  }

  /** A request that ends each target that runs it reaches three, and is refused from then on. */
  @Test(dataProvider = "ends")
  public void requestThatEndsThreeTargetsIsRefused(String path, String lastBytes) throws Exception {
    replaceTargets(lastBytes);
    for (int i = 0; i < 5; i++) {
      call("POST", path, "Id: n" + i + "\r\n", DEADLY);
      // A target that stays silent is checked after the answer.
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertEquals(deadlyRequests.size(), 3);
    String refused = call("POST", path, "", DEADLY);
    assertEquals(ProxyTest.status(refused), 503, refused);
    assertTrue(refused.contains("Retry-After"), refused);
    assertEquals(status("/lookup/x", "sound"), 200);
  }

  /** A target that ended silently is blamed on a request whose caller did not wait for it. */
  @Test
  public void requestOfCallersThatLeaveIsRefused() throws Exception {
    replaceTargets(ScriptedTarget.HANG);
    for (int i = 1; i <= 3; i++) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        String head = "POST /once/x HTTP/1.1\r\nHost: shop\r\nId: n" + i + "\r\n";
        String request = head + "Content-Length: 6\r\n\r\n" + DEADLY;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        await(deadlyRequests, i);
      }
      // The target is checked after the connection has closed.
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertEquals(status("/once/x", DEADLY), 503);
  }

  /** VMs that another VM has told of the targets that ended refuse the request as well. */
  @Test
  public void requestThatAnotherVmReportsIsRefused() throws Exception {
    for (int i = 0; i < 3; i++) {
      call("POST", "/safe/x", "", DEADLY);
    }
    await(reported, 3);
    List<CrashRecord> records = List.copyOf(reported);
    replaceTargets(ScriptedTarget.CLOSE);
    loop.submit(() -> proxy.crashReports().receive(records)).sync();
    assertEquals(status("/safe/x", DEADLY), 503);
    assertEquals(deadlyRequests.size(), 0);
  }

  private static void await(List<?> seen, int count) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (seen.size() < count && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  /** Requests that ran beside it on the target that ended are served by another one. */
  @Test
  public void requestsOnTheEndedTargetAreServedByAnother() throws Exception {
    List<Future<Integer>> beside = new ArrayList<>();
    for (int i = 0; i < 2 * TARGETS; i++) {
      String path = "/lookup/" + i;
      beside.add(callers.submit(() -> status(path, "slow")));
    }
    TimeUnit.MILLISECONDS.sleep(200);
    assertEquals(status("/once/x", DEADLY), 502);
    assertEquals(ended.size(), 1);
    for (Future<Integer> status : beside) {
      assertEquals((int) status.get(5, TimeUnit.SECONDS), 200);
    }
  }

  /** A target that drops requests and lives on is not taken for one that has ended. */
  @Test
  public void targetThatOnlyResetsIsNotBlamedOnTheRequest() throws Exception {
    targets.forEach(target -> target.script = request -> ScriptedTarget.RESET);
    for (int i = 0; i < 8; i++) {
      assertEquals(status("/once/x", "dropped"), 502);
    }
    assertEquals(loop.submit(() -> proxy.crashReports().records()).get(), List.of());
  }
}
