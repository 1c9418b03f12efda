package org.clementinesail.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** When a target that loses answers is set aside. */
public final class LostAnswersTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /**
   * One lost answer is an accident, two within 3 s are not, and one more after that time counts.
   */
  @Test
  public void secondLossSetsAside() {
    LostAnswers lost = new LostAnswers();
    assertEquals(lost.lost("a", SECOND), 0);
    assertEquals(lost.lost("b", SECOND), 0);
    assertEquals(lost.lost("a", 5 * SECOND), 0);
    assertEquals(lost.lost("a", 6 * SECOND), 3 * SECOND);
    assertEquals(lost.lost("a", 10 * SECOND), 6 * SECOND);
    assertEquals(lost.lost("a", 17 * SECOND), 12 * SECOND);
    assertEquals(lost.lost("a", 30 * SECOND), 12 * SECOND);
    assertEquals(lost.lost("a", 60 * SECOND), 0);
  }

  /** Connections of this VM that are reset all at once speak of no target. */
  @Test
  public void lossesOfManyTargetsTogetherBlameNone() {
    LostAnswers lost = new LostAnswers();
    int aside = 0;
    for (int i = 0; i < 60; i++) {
      long now = SECOND + i * 1_000_000L;
      aside += lost.lost("t" + i % 12, now) > 0 ? 1 : 0;
    }
    assertEquals(aside, 0);
  }

  /**
   * Load: 12 targets, 50 requests a second spread evenly over those not set aside, one of which
   * loses 45 of 100 answers for 6.5 s. Callers lose at most a third of what they would.
   */
  @Test
  public void callersAreSparedOfATargetThatLosesAnswers() {
    int without = play(false);
    int with = play(true);
    assertTrue(with * 3 <= without, with + " lost, " + without + " without");
  }

  private static int play(boolean watched) {
    LostAnswers watch = new LostAnswers();
    Random random = new Random(5);
    int lost = 0;
    long asideUntil = 0;
    for (long now = SECOND; now < SECOND + 6_500_000_000L; now += SECOND / 50) {
      boolean aside = now < asideUntil;
      boolean hit = !aside && random.nextInt(12) == 0 && random.nextDouble() < 0.45;
      if (hit) {
        lost++;
        long nanos = watched ? watch.lost("grey", now) : 0;
        asideUntil = nanos > 0 ? now + nanos : asideUntil;
      }
    }
    return lost;
  }
}
