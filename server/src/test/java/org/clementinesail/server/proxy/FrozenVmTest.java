package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.limits.PlannedStop;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that requests leave a VM that freezes while it serves them for another VM. */
public final class FrozenVmTest extends TwoVmTest {
  private static final long LONGEST_NOTICE_MS = 1_300;

  private CountDownLatch thawed = new CountDownLatch(1);

  /** Prepares the end of a freeze. */
  @BeforeMethod
  public void prepare() {
    thawed = new CountDownLatch(1);
  }

  /** Ends a freeze that a test has left, before the VM is stopped. */
  @AfterMethod(alwaysRun = true)
  public void thaw() {
    thawed.countDown();
  }

  private void freeze(EventLoop of) {
    CountDownLatch end = thawed;
    of.execute(() -> Uninterruptibles.awaitUninterruptibly(end));
  }

  private void start(String answer, String answerOfThirdVm) throws Exception {
    cutOff();
    addTargetOfPeer("t1", first);
    first.script = request -> answer;
    second.script = request -> ofVm(answerOfThirdVm);
    knowPeers(peerVm(), new PeerVm("third", second.address(), "b"));
  }

  private Future<String> begin(String path) throws Exception {
    Future<String> answer =
        callers.submit(() -> call("POST", path, "Id: f1\r\nTimeout-Ms: 2500\r\n", "x"));
    awaitRequests(first, 1);
    TimeUnit.MILLISECONDS.sleep(50);
    return answer;
  }

  private long calls() {
    return second.requests.stream().filter(request -> request.startsWith("POST")).count();
  }

  /** What the frozen VM has passed on before. */
  @DataProvider
  public Object[][] begun() {
    return new Object[][] {
      {stream(event(1) + event(2) + ScriptedTarget.SILENCE + event(3))},
      {ScriptedTarget.SILENCE + stream(event(1) + event(2) + event(3))}
    };
  }

  /** A stream goes on at a third VM, soon after the serving VM has frozen. */
  @Test(dataProvider = "begun")
  public void streamLeavesAFrozenVm(String answer) throws Exception {
    start(answer, stream(event(1) + event(2) + event(3)));
    second.script =
        request ->
            ofVm(
                request.contains("After: 2")
                    ? stream(event(3))
                    : stream(event(1) + event(2) + event(3)));
    Future<String> response = begin("/stream/x");
    freeze(peerLoop);
    long start = System.nanoTime();
    String whole = response.get(20, TimeUnit.SECONDS);
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertEquals(events(whole), List.of("e1", "e2", "e3"), whole + bothLogs());
    assertTrue(whole.endsWith("0\r\n\r\n"), whole + bothLogs());
    assertTrue(millis < LONGEST_NOTICE_MS, millis + " ms");
  }

  /** A stream leaves a VM that has lost its links to targets, too, while it serves the stream. */
  @Test
  public void streamLeavesAVmThatIsCutOffToo() throws Exception {
    start(EVENT_STREAM_HEAD + "Content-Length: 99\r\n\r\n" + event(1) + event(2), stream(event(3)));
    Future<String> response = begin("/stream/x");
    first.stopListening();
    long start = System.nanoTime();
    String whole = response.get(20, TimeUnit.SECONDS);
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertEquals(events(whole), List.of("e1", "e2", "e3"), whole + bothLogs());
    assertTrue(millis < LONGEST_NOTICE_MS, millis + " ms");
  }

  /** A lookup is answered by a third VM, soon after the serving VM has frozen. */
  @Test
  public void lookupLeavesAFrozenVm() throws Exception {
    start(ScriptedTarget.HANG, OK_RESPONSE);
    Future<String> response = begin("/lookup/x");
    freeze(peerLoop);
    long start = System.nanoTime();
    assertEquals(status(response.get(20, TimeUnit.SECONDS)), 200, bothLogs());
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertTrue(millis < LONGEST_NOTICE_MS, millis + " ms");
  }

  /** An order stays at the frozen VM, which answers it late: it runs once. */
  @Test
  public void orderAtAFrozenVmRunsOnce() throws Exception {
    start(ScriptedTarget.PAUSE + ScriptedTarget.PAUSE + ScriptedTarget.PAUSE + OK_RESPONSE, "");
    second.script = request -> ofVm(OK_RESPONSE);
    Future<String> response = callers.submit(() -> call("POST", "/once/x", "Id: f2\r\n", "x"));
    awaitRequests(first, 1);
    freeze(peerLoop);
    TimeUnit.MILLISECONDS.sleep(750);
    thaw();
    String answer = response.get(20, TimeUnit.SECONDS);
    assertTrue(status(answer) == 200 || status(answer) == 504, answer + bothLogs());
    assertEquals(calls(), 0, bothLogs());
    assertEquals(first.requests.size(), 1, bothLogs());
  }

  /** A frozen VM gets no new requests for some seconds. */
  @Test
  public void frozenVmGetsNoNewRequests() throws Exception {
    start(ScriptedTarget.HANG, OK_RESPONSE);
    Future<String> response = begin("/lookup/x");
    freeze(peerLoop);
    assertEquals(status(response.get(20, TimeUnit.SECONDS)), 200, bothLogs());
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2_000);
    for (int i = 0; System.nanoTime() - end < 0; i++) {
      long start = System.nanoTime();
      assertEquals(status(call("POST", "/once/x", "Id: g" + i + "\r\n", "x")), 200, bothLogs());
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      assertTrue(millis < 400, millis + " ms" + bothLogs());
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /** A silent target behind a sound VM is no reason to leave that VM. */
  @Test
  public void silentTargetBehindAnotherVmIsNoFreeze() throws Exception {
    String events = event(1) + ScriptedTarget.SILENCE + event(2) + event(3);
    start(stream(events), stream(event(2) + event(3)));
    Future<String> response = begin("/stream/x");
    String whole = response.get(20, TimeUnit.SECONDS);
    assertEquals(events(whole), List.of("e1", "e2", "e3"), whole + bothLogs());
    assertEquals(calls(), 0, bothLogs());
  }

  /**
   * A VM that has closed its port for a planned stop, and waits for a silent target, has not
   * frozen.
   */
  @Test
  public void stopOfTheServingVmIsNoFreeze() throws Exception {
    start(stream(event(1) + ScriptedTarget.SILENCE + event(2)), stream(event(2)));
    Future<String> response = begin("/stream/x");
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    peerLoop.submit(() -> peer.drain(new PlannedStop(end, end))).sync();
    peerLoop.submit(() -> peer.stopAcceptingAndCheckIdle(0)).sync();
    String whole = response.get(20, TimeUnit.SECONDS);
    assertEquals(events(whole), List.of("e1", "e2"), whole + bothLogs());
    assertEquals(calls(), 0, bothLogs());
  }

  /** A VM that stands still itself takes no other VM for frozen. */
  @Test
  public void ownPauseIsNoFreezeOfAnotherVm() throws Exception {
    start(stream(event(1) + ScriptedTarget.SILENCE + event(2)), stream(event(2)));
    Future<String> response = begin("/stream/x");
    freeze(loop);
    TimeUnit.MILLISECONDS.sleep(1_000);
    thaw();
    String whole = response.get(20, TimeUnit.SECONDS);
    assertEquals(events(whole), List.of("e1", "e2"), whole + bothLogs());
    assertEquals(calls(), 0, bothLogs());
    assertFalse(logged().contains("does not serve"), logged());
  }
}
