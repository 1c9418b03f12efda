package org.clementinesail.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.clementinesail.core.routing.FlowBound;
import org.clementinesail.core.routing.ModelPool;
import org.testng.annotations.Test;

/**
 * Compares the simulated throughput of the production policy with its upper bound and with the
 * baselines. The simulated clock and a fixed seed make all runs equal.
 */
public final class PolicyTest {
  private static final long SEED = 11;
  private static final double MIN_SHARE_OF_BOUND = 0.95;

  private static SimulatedPool.Result run(int concurrent, SimulatedPool.PolicyFactory policy) {
    return SimulatedPool.run(6, concurrent, 200, 30, policy);
  }

  /** With enough requests to fill the pool, throughput is within 5% of the upper bound. */
  @Test
  public void throughputOfFullPoolIsNearBound() {
    double share = run(1_800, Policies.production(SEED)).shareOfBound();
    assertTrue(share >= MIN_SHARE_OF_BOUND, "seed " + SEED + ": share " + share);
    assertTrue(share <= 1.001, "seed " + SEED + ": above the bound, " + share);
  }

  /** Throughput exceeds that of the least reported load and of a random choice in the same pool. */
  @Test
  public void throughputExceedsBaselines() {
    for (int concurrent : new int[] {200, 600, 1_800}) {
      double production = run(concurrent, Policies.production(SEED)).tokensPerSecond();
      double least = run(concurrent, Policies.leastReported(SEED)).tokensPerSecond();
      double random = run(concurrent, Policies.random(SEED)).tokensPerSecond();
      assertTrue(production > least, concurrent + ": " + production + " against " + least);
      assertTrue(production > random, concurrent + ": " + production + " against " + random);
    }
  }

  /** Three times the load keeps at least 90% of the throughput: queues grow, no work is lost. */
  @Test
  public void overloadKeepsThroughput() {
    double once = run(1_800, Policies.production(SEED)).tokensPerSecond();
    double thrice = run(5_400, Policies.production(SEED)).tokensPerSecond();
    assertTrue(thrice >= 0.9 * once, "once " + once + ", three times " + thrice);
  }

  /** The bound is the minimum cut of the layers. */
  @Test
  public void boundIsMinimumCut() {
    // 30 engines in 4 stages of 12 layers at 1000 layers/s: stages of 8, 8, 7 and 7 engines.
    double bound = FlowBound.tokensPerSecond(new ModelPool(TargetScaling.targets(30)));
    assertEquals(bound, 7 * 1_000 / 12.0, 1e-6);
    assertEquals(FlowBound.tokensPerSecond(new ModelPool(TargetScaling.targets(3))), 0, 0);
    assertEquals(FlowBound.tokensPerSecond(new ModelPool(List.of())), 0, 0);
  }
}
