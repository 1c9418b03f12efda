package org.clementinesail.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** When a target that loses answers is set aside. */
public final class LostAnswerDetectorTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /**
   * One lost answer is an accident, two within 3 s are not, and one more after that time counts.
   */
  @Test
  public void secondLossSetsAside() {
    LostAnswerDetector lost = new LostAnswerDetector();
    assertEquals(lost.recordLoss("a", SECOND), 0);
    assertEquals(lost.recordLoss("b", SECOND), 0);
    assertEquals(lost.recordLoss("a", 5 * SECOND), 0);
    assertEquals(lost.recordLoss("a", 6 * SECOND), 3 * SECOND);
    assertEquals(lost.recordLoss("a", 10 * SECOND), 6 * SECOND);
    assertEquals(lost.recordLoss("a", 17 * SECOND), 12 * SECOND);
    assertEquals(lost.recordLoss("a", 30 * SECOND), 12 * SECOND);
    assertEquals(lost.recordLoss("a", 60 * SECOND), 0);
  }

  /** Connections of this VM that are reset all at once speak of no target. */
  @Test
  public void lossesOfManyTargetsTogetherBlameNone() {
    LostAnswerDetector lost = new LostAnswerDetector();
    int aside = 0;
    for (int i = 0; i < 60; i++) {
      long now = SECOND + i * 1_000_000L;
      aside += lost.recordLoss("t" + i % 12, now) > 0 ? 1 : 0;
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
    LostAnswerDetector watch = new LostAnswerDetector();
    Random random = new Random(5);
    int lost = 0;
    long asideUntil = 0;
    for (long now = SECOND; now < SECOND + 6_500_000_000L; now += SECOND / 50) {
      boolean aside = now < asideUntil;
      boolean hit = !aside && random.nextInt(12) == 0 && random.nextDouble() < 0.45;
      if (hit) {
        lost++;
        long nanos = watched ? watch.recordLoss("grey", now) : 0;
        asideUntil = nanos > 0 ? now + nanos : asideUntil;
      }
    }
    return lost;
  }
}
