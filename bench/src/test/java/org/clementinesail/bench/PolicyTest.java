package org.clementinesail.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.clementinesail.core.routing.FlowBound;
import org.clementinesail.core.routing.ModelPool;
import org.testng.annotations.Test;

/** The policy against the bound and the baselines, on a stepped clock: equal on every run. */
public final class PolicyTest {
  private static final long SEED = 11;
  private static final double STATED_SHARE = 0.95;

  private static SteppedPool.Result run(int concurrent, SteppedPool.PolicyFactory policy) {
    return SteppedPool.run(6, concurrent, 200, 30, policy);
  }

  /** With enough requests to fill the pool, throughput is within 5% of its bound. */
  @Test
  public void fullPoolIsNearItsBound() {
    double share = run(1_800, Policies.product(SEED)).share();
    assertTrue(share >= STATED_SHARE, "seed " + SEED + ": share " + share);
    assertTrue(share <= 1.001, "seed " + SEED + ": above the bound, " + share);
  }

  /** The policy beats the least reported load and a random draw in the same pool. */
  @Test
  public void beatsTheBaselines() {
    for (int concurrent : new int[] {200, 600, 1_800}) {
      double product = run(concurrent, Policies.product(SEED)).tokensPerSecond();
      double least = run(concurrent, Policies.leastReported(SEED)).tokensPerSecond();
      double random = run(concurrent, Policies.random(SEED)).tokensPerSecond();
      assertTrue(product > least, concurrent + ": " + product + " against " + least);
      assertTrue(product > random, concurrent + ": " + product + " against " + random);
    }
  }

  /** Three times the load leaves throughput where it was: queues grow, work is not lost. */
  @Test
  public void threeTimesTheLoadKeepsThroughput() {
    double once = run(1_800, Policies.product(SEED)).tokensPerSecond();
    double thrice = run(5_400, Policies.product(SEED)).tokensPerSecond();
    assertTrue(thrice >= 0.9 * once, "once " + once + ", three times " + thrice);
  }

  /** The bound is the narrowest cut of the layers. */
  @Test
  public void boundIsTheNarrowestCut() {
    // 30 engines in 4 stages of 12 layers at 1000 layers/s: stages of 8, 8, 7 and 7 engines.
    double bound = FlowBound.tokensPerSecond(new ModelPool(TargetSlopes.facts(30)));
    assertEquals(bound, 7 * 1_000 / 12.0, 1e-6);
    assertEquals(FlowBound.tokensPerSecond(new ModelPool(TargetSlopes.facts(3))), 0, 0);
    assertEquals(FlowBound.tokensPerSecond(new ModelPool(List.of())), 0, 0);
  }
}
