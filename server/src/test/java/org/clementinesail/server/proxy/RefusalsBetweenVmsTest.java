package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.Test;

/** Tests what the refusals of a VM that serves for another mean for further requests. */
public final class RefusalsBetweenVmsTest extends TwoVmTest {
  private static final int CALLERS = 8;
  private static final int REQUESTS_EACH = 8;

  private void knowThirdVm(String answer) throws Exception {
    cutOff();
    second.script = request -> answer;
    knowPeers(peerVm(), new PeerVm("third", second.address(), "a"));
  }

  private List<Integer> statusesOfOrders(String prefix, int count) throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      statuses.add(status(call("POST", "/once/x", "Id: " + prefix + i + "\r\n", "x")));
    }
    return statuses;
  }

  /** A VM that knows no target is no reason to refuse what a third one serves. */
  @Test
  public void requestThatAVmWithoutTargetsRefusesIsServedElsewhere() throws Exception {
    knowThirdVm(ofVm(OK_RESPONSE));
    List<Integer> statuses = statusesOfOrders("c", 12);
    List<Integer> served = IntStream.range(0, 12).mapToObj(i -> 200).collect(Collectors.toList());
    assertEquals(statuses, served, bothLogs());
  }

  /** A VM that knows no target draws no requests beside steady load. */
  @Test
  public void vmWithoutTargetsIsLeftAloneAfterRefusals() throws Exception {
    knowThirdVm(ScriptedTarget.PAUSE.repeat(10) + ofVm(OK_RESPONSE));
    List<Future<List<Integer>>> all = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      String prefix = "d" + caller + "-";
      all.add(callers.submit(() -> statusesOfOrders(prefix, REQUESTS_EACH)));
    }
    long refused = 0;
    for (Future<List<Integer>> one : all) {
      refused += one.get(60, TimeUnit.SECONDS).stream().filter(status -> status != 200).count();
    }
    assertTrue(refused <= 2 * CALLERS, refused + " refused");
  }

  /** The end of a target's deferral is not taken for the stop of the VM that serves. */
  @Test
  public void endOfADeferralKeepsNoRequestsFromTheOtherVm() throws Exception {
    cutOff();
    addTargetOfPeer("t1", first);
    String deferring = REFUSAL.replace("Not-Started", "Retry-After: 0.6\r\nNot-Started");
    first.script = request -> first.requests.size() <= 1 ? deferring : identifiedResponse(request);
    long start = System.nanoTime();
    int status = 0;
    for (int i = 0; status != 200 && i < 200; i++) {
      status = status(call("POST", "/once/x", "Id: h" + i + "\r\n", "x"));
      TimeUnit.MILLISECONDS.sleep(10);
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertEquals(status, 200, bothLogs());
    assertTrue(millis < 900, millis + " ms" + bothLogs());
  }
}
