package org.clementinesail.bench;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Prints what each policy makes of the same pool, against the bound. */
public final class PolicyMain {
  private static final long SEED = 11;
  private static final int COPIES = 6;
  private static final int TOKENS = 200;
  private static final double SECONDS = 60;
  private static final int[] CONCURRENT = {200, 600, 1_800};

  private PolicyMain() {}

  /**
   * Runs the comparison.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    Map<String, SteppedPool.PolicyFactory> policies = new LinkedHashMap<>();
    policies.put("random", Policies.random(SEED));
    policies.put("least reported", Policies.leastReported(SEED));
    policies.put("product", Policies.product(SEED));
    System.out.println("seed " + SEED);
    for (int concurrent : CONCURRENT) {
      policies.forEach((name, policy) -> print(name, concurrent, policy));
    }
  }

  private static void print(String name, int concurrent, SteppedPool.PolicyFactory policy) {
    SteppedPool.Result result = SteppedPool.run(COPIES, concurrent, TOKENS, SECONDS, policy);
    System.out.printf(
        Locale.ROOT,
        "%-15s %5d requests: %6.0f tokens/s of %6.0f, share %.3f%n",
        name,
        concurrent,
        result.tokensPerSecond(),
        result.bound(),
        result.share());
  }
}
