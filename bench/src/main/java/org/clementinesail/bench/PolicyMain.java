package org.clementinesail.bench;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Prints the simulated throughput of each routing policy and its share of the upper bound. */
public final class PolicyMain {
  private static final long SEED = 11;
  private static final int ENGINES_PER_RANGE = 6;
  private static final int TOKENS_PER_REQUEST = 200;
  private static final double SECONDS = 60;
  private static final int[] CONCURRENT_REQUESTS = {200, 600, 1_800};

  private PolicyMain() {}

  /**
   * Simulates each policy with 200, 600 and 1,800 concurrent requests, for 60 seconds after a
   * warm-up of 20 seconds.
   *
   * @param args ignored
   */
  public static void main(String[] args) {
    Map<String, SimulatedPool.PolicyFactory> policies = new LinkedHashMap<>();
    policies.put("random", Policies.random(SEED));
    policies.put("least reported", Policies.leastReported(SEED));
    policies.put("production", Policies.production(SEED));
    System.out.println("seed " + SEED);
    for (int concurrent : CONCURRENT_REQUESTS) {
      policies.forEach((name, policy) -> print(name, concurrent, policy));
    }
  }

  private static void print(String name, int concurrent, SimulatedPool.PolicyFactory policy) {
    SimulatedPool.Result result =
        SimulatedPool.run(ENGINES_PER_RANGE, concurrent, TOKENS_PER_REQUEST, SECONDS, policy);
    System.out.printf(
        Locale.ROOT,
        "%-15s %5d requests: %6.0f tokens/s of %6.0f, share %.3f%n",
        name,
        concurrent,
        result.tokensPerSecond(),
        result.bound(),
        result.shareOfBound());
  }
}
