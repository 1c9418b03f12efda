package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.clementinesail.core.desired.Route;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how often, and on how many targets, a request may run. */
public final class AttemptCountsTest {
  private static Route route(Route.Kind kind, int maxAttempts) {
    List<Route.Split> splits = List.of(new Route.Split("s", 1));
    return new Route("r", "shop", "/r/", kind, 900, 100, 1, splits, maxAttempts, true, false, 0);
  }

  /** A connection that turns out stale permits a second send to the same target, and no more. */
  @Test
  public void staleConnectionAddsNoTarget() {
    Route one = route(Route.Kind.IDEMPOTENT, 1);
    AttemptCounts counts = new AttemptCounts(0);
    assertTrue(counts.mayResend(one, "a"));
    counts.recordPossibleRun("a");
    assertFalse(counts.mayTryAnother(one));
    counts.recordResend("a");
    assertFalse(counts.mayResend(one, "a"));
    assertFalse(counts.mayRetry(one, "a"));
    assertFalse(counts.mayTryAnother(one));
  }

  /** A target that refuses the second send has still got the first. */
  @Test
  public void refusalAfterAStaleConnectionAddsNoTarget() {
    Route two = route(Route.Kind.IDEMPOTENT, 2);
    AttemptCounts counts = new AttemptCounts(0);
    counts.recordPossibleRun("a");
    counts.recordResend("a");
    counts.recordRefusal();
    assertTrue(counts.mayTryAnother(two));
    assertFalse(counts.mayRetry(two, "b"));
  }

  /** Targets that ran a request for another VM count against the attempts of the route. */
  @Test
  public void earlierRunsAddNoAttempts() {
    Route two = route(Route.Kind.IDEMPOTENT, 2);
    assertTrue(new AttemptCounts(0).mayRetry(two, "a"));
    assertFalse(new AttemptCounts(1).mayRetry(two, "a"));
    AttemptCounts counts = new AttemptCounts(1);
    counts.recordPossibleRun("a");
    assertFalse(counts.mayTryAnother(two));
  }

  /** Requests that may run once are not sent again. */
  @Test
  public void unrepeatableRequestIsNotSentAgain() {
    Route once = route(Route.Kind.NON_IDEMPOTENT, 3);
    AttemptCounts counts = new AttemptCounts(0);
    assertTrue(counts.mayTryAnother(once));
    assertFalse(counts.mayResend(once, "a"));
    assertFalse(counts.mayRetry(once, "a"));
    counts.recordPossibleRun("a");
    assertFalse(counts.mayTryAnother(once));
  }

  /** A target that ended makes room for another one, at most twice. */
  @Test
  public void deadTargetsMakeRoomTwice() {
    Route one = route(Route.Kind.IDEMPOTENT, 1);
    AttemptCounts counts = new AttemptCounts(0);
    int runs = 0;
    while (counts.mayTryAnother(one) && runs < 10) {
      String target = "t" + runs++;
      counts.recordPossibleRun(target);
      counts.recordDeadTarget(target);
    }
    assertEquals(runs, 3);
  }

  /** Limits of routes. */
  @DataProvider
  public Object[][] limits() {
    return new Object[][] {{1}, {2}, {3}, {4}};
  }

  /** Whatever fails in whatever order, no more targets run the request than the route allows. */
  @Test(dataProvider = "limits")
  public void noOrderOfFailuresExceedsTheLimit(int maxAttempts) {
    Route route = route(Route.Kind.IDEMPOTENT, maxAttempts);
    for (int seed = 0; seed < 1_000; seed++) {
      Random random = new Random(seed);
      AttemptCounts counts = new AttemptCounts(0);
      Set<String> ran = new HashSet<>();
      int runs = 0;
      while (counts.mayTryAnother(route) && !counts.refusalLimitReached()) {
        String target = "t" + random.nextInt(6);
        if (random.nextInt(4) == 0) {
          counts.recordRefusal();
          continue;
        }
        ran.add(target);
        runs++;
        boolean resend = random.nextBoolean() && counts.mayResend(route, target);
        counts.recordPossibleRun(target);
        if (resend) {
          counts.recordResend(target);
          runs++;
          counts.recordPossibleRun(target);
        }
      }
      assertTrue(ran.size() <= maxAttempts, "seed " + seed + ": ran on " + ran);
      assertTrue(runs <= 2 * maxAttempts, "seed " + seed + ": runs " + runs);
    }
  }
}
