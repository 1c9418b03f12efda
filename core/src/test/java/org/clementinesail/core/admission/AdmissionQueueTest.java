package org.clementinesail.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.admission.AdmissionQueue.Accepted;
import org.clementinesail.core.admission.AdmissionQueue.Refused;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Workspace;
import org.clementinesail.core.load.FleetLoad;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order, the refusals and the failures of {@link AdmissionQueue}. */
public class AdmissionQueueTest {
  private AdmissionQueue queue = new AdmissionQueue("s");

  /** Starts each test with an empty queue. */
  @BeforeMethod
  public void start() {
    queue = new AdmissionQueue("s");
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static WaitingRequest request(long id, int rank, long deadlineMillis) {
    return new WaitingRequest(
        id, rank, "w", "r", "", 10, millis(deadlineMillis), millis(Math.min(500, deadlineMillis)));
  }

  private Optional<Long> next(FleetLoad load, long now) {
    return queue.next(new QueuePass(0), load, now).map(WaitingRequest::id);
  }

  private static FleetLoad urgentElsewhere(long observedAt) {
    return new FleetLoad(
        observedAt, 2, Map.of(), Map.of(new FleetLoad.Waiting("s", 0), 3), Map.of());
  }

  /** Guards against new requests that overtake waiting ones which are at least as urgent. */
  @Test
  public void newRequestOvertakesOnlyLessUrgentOnes() {
    queue.offer(request(1, 1, 900), 0);
    assertFalse(queue.mayStart(request(2, 1, 900), FleetLoad.NONE, 0));
    assertFalse(queue.mayStart(request(3, 2, 900), FleetLoad.NONE, 0));
    assertTrue(queue.mayStart(request(4, 0, 900), FleetLoad.NONE, 0));
  }

  /** Guards against an order other than rank, then deadline; a returning caller is first. */
  @Test
  public void urgentAndEarlyDeadlinesAreFirst() {
    queue.offer(request(1, 1, 900), 0);
    queue.offer(request(2, 0, 900), 0);
    queue.offer(request(3, 0, 700), 0);
    assertEquals(next(FleetLoad.NONE, 0), Optional.of(3L));
    queue.remove(request(3, 0, 700), 0);
    assertEquals(next(FleetLoad.NONE, 0), Optional.of(2L));
    assertEquals(queue.waitingByRank()[0], 1);
  }

  /** Guards against requests that are sent after a freeze although their time is over. */
  @Test
  public void requestOfAFrozenVmIsNotSentAfterItsTime() {
    queue.offer(request(1, 0, 400), 0);
    assertEquals(next(FleetLoad.NONE, millis(401)), Optional.empty());
  }

  /** Guards against less urgent requests that take targets for which others wait elsewhere. */
  @Test
  public void lessUrgentRequestIsHeldBackForOtherVms() {
    queue.recordOffered(request(1, 1, 900), 0);
    queue.recordAdmitted(request(1, 1, 900), false, 0);
    assertFalse(queue.mayStart(request(2, 1, 900), urgentElsewhere(0), millis(10)));
    assertTrue(queue.mayStart(request(3, 0, 900), urgentElsewhere(0), millis(10)));
  }

  /** Guards against a rank that is held back for ever, as those of other VMs never get a target. */
  @Test
  public void heldBackRankGetsATurnAfterAPause() {
    queue.recordOffered(request(1, 1, 900), 0);
    queue.recordAdmitted(request(1, 1, 900), false, 0);
    long later = millis(4_001);
    assertTrue(queue.mayStart(request(2, 1, 9_000), urgentElsewhere(later), later));
  }

  /** Guards against decisions by a view of the load that is older than 2 s. */
  @Test
  public void staleLoadHoldsNothingBack() {
    queue.recordOffered(request(1, 1, 900), millis(2_000));
    queue.recordAdmitted(request(1, 1, 900), false, millis(2_000));
    assertTrue(queue.mayStart(request(2, 1, 900), urgentElsewhere(0), millis(2_001)));
  }

  /** Guards against a queue without bound, and urgent requests refused by a queue of others. */
  @Test
  public void fullQueueTakesOnlyMoreUrgentRequests() {
    for (int id = 0; id < 256; id++) {
      queue.offer(request(id, 1, 1_000 + id), 0);
    }
    assertTrue(queue.offer(request(300, 1, 900), 0) instanceof Refused);
    Accepted accepted = (Accepted) queue.offer(request(301, 0, 900), 0);
    assertEquals(accepted.displaced(), request(255, 1, 1_255));
    assertEquals(queue.length(), 256);
  }

  /** Guards against requests that wait in vain: the queue drains too slowly for them. */
  @Test
  public void requestThatCannotBeServedInTimeIsRefusedAtOnce() {
    for (int id = 0; id < 30; id++) {
      queue.offer(request(id, 1, 5_000), 0);
    }
    for (int id = 0; id < 10; id++) {
      queue.remove(request(id, 1, 5_000), millis(20L * id));
      queue.recordAdmitted(request(id, 1, 5_000), true, millis(20L * id));
    }
    assertTrue(queue.offer(request(40, 1, 5_000), millis(200)) instanceof Refused);
    double seconds = queue.expectedSeconds(request(41, 1, 5_000), millis(200)).orElse(0);
    assertEquals(seconds, 21 * 0.02, 0.05);
    assertTrue(queue.offer(request(42, 0, 5_000), millis(200)) instanceof Accepted);
  }

  /** Guards against a burst to full targets, which refuse what this VM believes they can take. */
  @Test
  public void afterARefusalOneRequestIsTriedForEachThatEnds() {
    queue.offer(request(1, 1, 900), 0);
    queue.recordReturned(request(9, 1, 900), false, 0);
    QueuePass pass = new QueuePass(0);
    assertTrue(queue.next(pass, FleetLoad.NONE, 0).isPresent());
    pass.recordLeft();
    assertFalse(queue.next(pass, FleetLoad.NONE, 0).isPresent());
  }

  /** Guards against odd priorities that are used as they are or stay unnoticed. */
  @Test
  public void oddPrioritiesAreCappedAndNamed() {
    assertEquals(RequestRank.of(-1, 3), 3);
    assertEquals(RequestRank.of(2, 3), 2);
    assertEquals(RequestRank.of(Integer.MAX_VALUE, 3), 9);
    assertEquals(RequestRank.of(-7, -1), 0);
    Route route =
        new Route("x", "h", "/", Route.Kind.STREAM, 1, 1, -4, List.of(), 1, true, false, 0);
    assertEquals(
        RequestRank.oddPriorities(List.of(route), List.of(new Workspace("w", List.of(), 99))),
        List.of(
            new RequestRank.OddPriority("route x priority", -4),
            new RequestRank.OddPriority("workspace w priority", 99)));
  }

  /** Guards against waits beyond the deadline, or near the time when callers abandon a stream. */
  @Test
  public void waitIsBoundedByLatencyTimeoutAndDeadline() {
    assertEquals(WaitLimit.waitUntil(501, 20_000, 0, millis(20_000)), millis(501));
    assertEquals(WaitLimit.waitUntil(1_900, 20_000, 0, millis(20_000)), millis(1_000));
    assertEquals(WaitLimit.waitUntil(142, 1_209, 0, millis(1_209)), millis(250));
    assertEquals(WaitLimit.waitUntil(501, 20_000, 0, millis(120)), millis(120));
  }
}
