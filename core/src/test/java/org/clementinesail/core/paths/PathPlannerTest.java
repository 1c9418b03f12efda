package org.clementinesail.core.paths;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.placement.TestModels;
import org.clementinesail.core.targets.LayerRange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Plans paths over engines with overlapping layers, full memory, load and degraded links. */
public class PathPlannerTest {
  private static final PathPlanner.Requirements REQUIREMENTS =
      new PathPlanner.Requirements(774, 203, "a");

  private Fleet fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
  private LocalLoad localLoad = new LocalLoad();
  private LinkLoad linkLoad = new LinkLoad();
  private LinkHealth linkHealth = new LinkHealth();
  private PathPlanner planner = new PathPlanner(localLoad, linkLoad, linkHealth, new Random(7));

  /** Starts each test without engines or load. */
  @BeforeMethod
  public void reset() {
    fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
    localLoad = new LocalLoad();
    linkLoad = new LinkLoad();
    linkHealth = new LinkHealth();
    planner = new PathPlanner(localLoad, linkLoad, linkHealth, new Random(7));
  }

  private void engine(String id, String dataCentre, String kind, int from, int to) {
    fleet.recordStatement(
        new TargetStatement(
            id,
            "lm",
            id + ":1",
            dataCentre,
            134,
            Phase.READY,
            kind,
            new LayerRange(from, to),
            1,
            1),
        0);
  }

  private List<Hop> plan(Set<String> excluded) {
    return planner
        .plan(TestModels.MODEL, fleet.ready("lm", 1), REQUIREMENTS, excluded, Set.of(), 7, 1)
        .orElse(List.of());
  }

  private static List<String> ids(List<Hop> hops) {
    return hops.stream().map(Hop::id).toList();
  }

  private static void assertCoversAllLayers(List<Hop> hops) {
    int next = 0;
    for (Hop hop : hops) {
      assertEquals(hop.layers().from(), next, hops.toString());
      next = hop.layers().to();
    }
    assertEquals(next, 80, hops.toString());
  }

  /** Every layer runs once and in order, even if the layers of engines overlap. */
  @Test
  public void everyLayerRunsOnceInOrder() {
    engine("x", "a", "whole", 0, 24);
    engine("y", "a", "whole", 16, 48);
    engine("z", "a", "whole", 40, 64);
    engine("w", "a", "whole", 56, 80);
    assertCoversAllLayers(plan(Set.of()));
  }

  /** An engine that states layers beyond the model's does not prevent paths over the others. */
  @Test
  public void engineBeyondTheModelIsNotUsed() {
    engine("x", "a", "whole", 0, 40);
    engine("y", "a", "whole", 40, 80);
    engine("odd1", "a", "whole", 0, Integer.MAX_VALUE);
    engine("odd2", "a", "whole", 40, 81);
    for (String id : List.of("odd1", "odd2")) {
      // Memory as reported, since an engine without a report would have none left.
      fleet.recordReport(new EngineReport(id, true, 0, 0, 0, 1L << 50, 1, false, 0, null, -1), 0);
    }
    assertEquals(ids(plan(Set.of())), List.of("x", "y"));
  }

  /**
   * A path stays in one data centre if possible, instead of sending a prompt over the shared link.
   */
  @Test
  public void staysInOneDataCentre() {
    engine("a1", "a", "whole", 0, 40);
    engine("a2", "a", "whole", 40, 80);
    engine("b2", "b", "whole", 40, 80);
    assertEquals(ids(plan(Set.of())), List.of("a1", "a2"));
    assertEquals(ids(plan(Set.of("a2"))), List.of("a1", "b2"));
  }

  /** While the link is busy, a path stays local even if the engines there are slower. */
  @Test
  public void busyLinkKeepsPathsLocal() {
    engine("a1", "a", "whole", 0, 40);
    engine("a2", "a", "slow-whole", 40, 80);
    engine("b2", "b", "whole", 40, 80);
    assertEquals(ids(plan(Set.of())), List.of("a1", "b2"));
    linkLoad.recordTransfer(PathPlanner.activationBits(TestModels.MODEL, 774 * 12), 1);
    assertEquals(ids(plan(Set.of())), List.of("a1", "a2"));
  }

  /** A data centre is preferred; callers do not wait for it if another is much faster. */
  @Test
  public void preferredDataCentreIsUsedAlthoughItIsMuchSlower() {
    engine("a1", "a", "whole", 0, 80);
    engine("b1", "b", "whole", 0, 80);
    engine("c1", "c", "slow-whole", 0, 80);
    engine("d1", "d", "whole", 0, 40);
    int inSelected = 0;
    for (int i = 0; i < 100; i++) {
      inSelected += ids(planFrom("a")).equals(List.of("a1")) ? 1 : 0;
      assertTrue(Set.of("a1", "b1").containsAll(ids(planFrom("c"))));
      assertCoversAllLayers(planFrom("d"));
    }
    assertTrue(inSelected > 50, "preferred in " + inSelected + " of 100");
  }

  private List<Hop> planFrom(String selected) {
    var requirements = new PathPlanner.Requirements(774, 203, selected);
    return planner
        .plan(TestModels.MODEL, fleet.ready("lm", 1), requirements, Set.of(), Set.of(), 7, 1)
        .orElse(List.of());
  }

  /** There is no path if a layer is missing or its only engine is suspect. */
  @Test
  public void noPathWithoutAllLayers() {
    engine("a1", "a", "whole", 0, 40);
    assertEquals(plan(Set.of()), List.of());
    engine("a2", "a", "whole", 40, 80);
    fleet.markSuspect("a2", 100);
    assertEquals(plan(Set.of()), List.of());
  }

  /** An engine without memory for the request is not used, even if it is faster. */
  @Test
  public void engineWithoutMemoryIsSkipped() {
    engine("a1", "a", "whole", 0, 80);
    engine("b1", "b", "slow-whole", 0, 80);
    fleet.recordReport(
        new EngineReport(
            "a1", true, 10, 0, 990_000, 1_000_000, 1, false, 1, new LayerRange(0, 80), 1),
        1);
    assertEquals(ids(plan(Set.of())), List.of("b1"));
  }

  /** A burst between two reports is distributed over equal engines instead of filling one. */
  @Test
  public void burstSpreadsOverEqualEngines() {
    for (int i = 0; i < 4; i++) {
      engine("e" + i, "a", "whole", 0, 80);
    }
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      Hop hop = plan(Set.of()).get(0);
      localLoad.assign(hop.id(), 0, 1);
      counts.merge(hop.id(), 1, Integer::sum);
    }
    assertTrue(counts.values().stream().allMatch(n -> n >= 7), counts.toString());
  }

  /** An engine that reports a slowdown is avoided in favour of an equal one. */
  @Test
  public void slowEngineIsAvoided() {
    engine("fast", "a", "whole", 0, 80);
    engine("slow", "a", "whole", 0, 80);
    LayerRange all = new LayerRange(0, 80);
    fleet.recordReport(new EngineReport("slow", true, 0, 0, 0, 0, 5, false, 1, all, 1), 1);
    assertEquals(ids(plan(Set.of())), List.of("fast"));
  }

  /**
   * A link loses 4 of 100 packets for 5 s, with 20 new streams per second of 60 events each; each
   * loss is a pause that makes its stream late. The engines behind the link are idle and the local
   * ones are not, so all streams would use the link. After the first pauses, streams stay in the
   * local data centre: at most a third as many streams are late as without link health. 15 s after
   * the loss ends, streams use the link again.
   */
  @Test
  public void streamsAvoidALossyLink() {
    engine("b1", "b", "whole", 0, 80);
    engine("a1", "a", "whole", 0, 80);
    LayerRange all = new LayerRange(0, 80);
    fleet.recordReport(new EngineReport("a1", true, 40, 0, 0, 0, 1, false, 1, all, 1), 1);
    assertEquals(ids(planAt(1, planner)), List.of("b1"));
    PathPlanner withoutLinkHealth =
        new PathPlanner(localLoad, linkLoad, new LinkHealth(), new Random(7));
    int lateWithout = lateStreams(withoutLinkHealth);
    int late = lateStreams(planner);
    assertTrue(
        late * 3 <= lateWithout, late + " late streams, " + lateWithout + " without link health");
    long later = TimeUnit.SECONDS.toNanos(20);
    fleet.recordReport(new EngineReport("a1", true, 40, 0, 0, 0, 1, false, 1, all, later), later);
    assertEquals(ids(planAt(later, planner)), List.of("b1"));
  }

  /**
   * Simulates 100 streams, started 50 ms apart with 50 ms between events, and returns how many are
   * late.
   */
  private int lateStreams(PathPlanner pathPlanner) {
    Random loss = new Random(3);
    PriorityQueue<Long> pauses = new PriorityQueue<>();
    int late = 0;
    for (int i = 0; i < 100; i++) {
      long now = TimeUnit.MILLISECONDS.toNanos(50L * i) + 1;
      while (!pauses.isEmpty() && pauses.peek() <= now) {
        linkHealth.recordPause("b", pauses.remove());
      }
      if (!ids(planAt(now, pathPlanner)).equals(List.of("b1"))) {
        continue;
      }
      OptionalInt lost = IntStream.range(0, 60).filter(e -> loss.nextDouble() < 0.04).findFirst();
      if (lost.isPresent()) {
        pauses.add(now + TimeUnit.MILLISECONDS.toNanos(50L * lost.getAsInt()));
        late++;
      }
    }
    return late;
  }

  private List<Hop> planAt(long now, PathPlanner pathPlanner) {
    return pathPlanner
        .plan(TestModels.MODEL, fleet.ready("lm", now), REQUIREMENTS, Set.of(), Set.of(), 7, now)
        .orElse(List.of());
  }

  /**
   * No report arrives for 4 s, for example while no control VM leads. Each of 7 VMs runs 3 requests
   * of 0.3 s each at a time on an engine with memory for 60. The engine stays usable for every
   * request.
   */
  @Test
  public void releasedRequestsFreeMemoryWithoutAReport() {
    engine("e", "a", "whole", 0, 80);
    long kv = 60L * (774 + 203) * 80;
    LayerRange all = new LayerRange(0, 80);
    fleet.recordReport(new EngineReport("e", true, 21, 0, 0, kv, 1, false, 1, all, 1), 1);
    Deque<LocalLoad.Assignment> running = new ArrayDeque<>();
    for (int i = 0; i < 40; i++) {
      long now = TimeUnit.MILLISECONDS.toNanos(100L * i) + 1;
      if (running.size() == 3) {
        localLoad.release(running.removeFirst(), now);
      }
      List<Hop> hops = planAt(now, planner);
      assertCoversAllLayers(hops);
      running.addLast(localLoad.assign("e", (774 + 203) * 80, now));
    }
  }

  /**
   * Requests assigned within the report lag of 200 ms before a report still count as unreported.
   */
  @Test
  public void reportOmitsRequestsAssignedWithinItsLag() {
    long reported = TimeUnit.SECONDS.toNanos(10);
    localLoad.assign("e", 100, reported - TimeUnit.MILLISECONDS.toNanos(500));
    localLoad.assign("e", 10, reported - TimeUnit.MILLISECONDS.toNanos(100));
    localLoad.recordReport("e", reported);
    assertEquals(localLoad.unreportedRequests("e"), 1);
    assertEquals(localLoad.unreportedKvTokenLayers("e"), 10);
    assertEquals(localLoad.requestCount("e"), 2);
  }

  /** Requests that have ended free their memory before the engine reports it. */
  @Test
  public void endedRequestsFreeMemoryBeforeTheNextReport() {
    engine("e", "a", "whole", 0, 80);
    long kv = 10L * (774 + 203) * 80;
    LayerRange all = new LayerRange(0, 80);
    Deque<LocalLoad.Assignment> running = new ArrayDeque<>();
    for (int i = 0; i < 9; i++) {
      running.add(localLoad.assign("e", (774 + 203) * 80, 1));
    }
    long reported = TimeUnit.SECONDS.toNanos(1);
    fleet.recordReport(
        new EngineReport("e", true, 9, 0, kv * 9 / 10, kv, 1, false, 1, all, reported), 0);
    localLoad.recordReport("e", reported);
    assertEquals(planAt(reported, planner), List.of());
    localLoad.release(running.remove(), reported);
    assertEquals(ids(planAt(reported, planner)), List.of("e"));
    localLoad.recordReport("e", reported + TimeUnit.SECONDS.toNanos(1));
    assertEquals(localLoad.endedKvTokenLayers("e"), 0);
  }

  /** Without reports, requests that have ended are not kept for more than 5 s. */
  @Test
  public void endedRequestsAreForgottenWithoutReports() {
    localLoad.assign("e", 1, 1);
    List<LocalLoad.Assignment> ended =
        List.of(localLoad.assign("e", 10, 1), localLoad.assign("e", 100, 1));
    localLoad.recordReport("e", TimeUnit.SECONDS.toNanos(1));
    localLoad.release(ended.get(0), TimeUnit.SECONDS.toNanos(2));
    assertEquals(localLoad.endedKvTokenLayers("e"), 10);
    localLoad.release(ended.get(1), TimeUnit.SECONDS.toNanos(8));
    assertEquals(localLoad.endedKvTokenLayers("e"), 100);
  }

  /** A refusal names the layers without an engine and why each of these is left out. */
  @Test
  public void missingLayersAreDescribedWithTheReasons() {
    engine("a1", "a", "whole", 0, 40);
    engine("a2", "a", "whole", 40, 80);
    engine("b2", "b", "whole", 40, 80);
    engine("c2", "c", "whole", 40, 80);
    fleet.markSuspect("b2", 4_000_000);
    LayerRange layers = new LayerRange(40, 80);
    fleet.recordReport(new EngineReport("a2", true, 9, 0, 950, 1000, 1, false, 1, layers, 1), 1);
    String gaps =
        planner.describeGaps(
            TestModels.MODEL,
            List.copyOf(fleet.members()),
            Set.of("a1", "a2", "b2"),
            REQUIREMENTS,
            Set.of(),
            Set.of("a1"),
            3_000_001);
    assertEquals(
        gaps,
        "0..40 1 engines {LIMIT=1}; 40..80 3 engines {NOT_READY=1, SUSPECT=1, MEMORY=1},"
            + " a2 used 950 changed 0 required 39080 of 1000, report 3 ms old");
  }

  /** Ended requests free no more than an engine has reported as used. */
  @Test
  public void endedRequestsFreeNoMoreThanWasUsed() {
    engine("e", "a", "whole", 0, 80);
    LayerRange all = new LayerRange(0, 80);
    long required = (774 + 203) * 80L;
    LocalLoad.Assignment own = localLoad.assign("e", required, -1_000_000_000L);
    fleet.recordReport(
        new EngineReport("e", true, 1, 0, required / 4, required / 2, 1, false, 1, all, 1), 1);
    localLoad.recordReport("e", 1);
    localLoad.release(own, 1);
    assertEquals(plan(Set.of()), List.of());
  }

  /** A target that has gone leaves nothing behind. */
  @Test
  public void goneTargetLeavesNoWork() {
    for (int i = 0; i < 100; i++) {
      long begin = TimeUnit.SECONDS.toNanos(10L * i);
      LocalLoad.Assignment own = localLoad.assign("gone" + i, 5, begin);
      localLoad.recordReport("gone" + i, begin + TimeUnit.SECONDS.toNanos(1));
      localLoad.release(own, begin + TimeUnit.SECONDS.toNanos(2));
    }
    assertTrue(localLoad.targetCount() <= 2, localLoad.targetCount() + " targets");
  }
}
