package org.clementinesail.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests when a target that loses answers becomes suspect. */
public final class LostAnswerDetectorTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /**
   * Two losses within 3 s make a target suspect for 3 s, a single loss does not. Each further loss
   * within 3 s after that time doubles it, up to 12 s.
   */
  @Test
  public void secondLossMakesTargetSuspect() {
    LostAnswerDetector detector = new LostAnswerDetector();
    assertEquals(detector.recordLoss("a", SECOND), 0);
    assertEquals(detector.recordLoss("b", SECOND), 0);
    assertEquals(detector.recordLoss("a", 5 * SECOND), 0);
    assertEquals(detector.recordLoss("a", 6 * SECOND), 3 * SECOND);
    assertEquals(detector.recordLoss("a", 10 * SECOND), 6 * SECOND);
    assertEquals(detector.recordLoss("a", 17 * SECOND), 12 * SECOND);
    assertEquals(detector.recordLoss("a", 30 * SECOND), 12 * SECOND);
    assertEquals(detector.recordLoss("a", 60 * SECOND), 0);
  }

  /** When all connections of this VM are reset at once, no target becomes suspect. */
  @Test
  public void simultaneousLossesOfManyTargetsAreIgnored() {
    LostAnswerDetector detector = new LostAnswerDetector();
    int suspicions = 0;
    for (int i = 0; i < 60; i++) {
      long now = SECOND + i * 1_000_000L;
      suspicions += detector.recordLoss("t" + i % 12, now) > 0 ? 1 : 0;
    }
    assertEquals(suspicions, 0);
  }

  /**
   * Of 12 targets that share 50 requests per second evenly, one loses 45% of its answers for 6.5 s.
   * With the detector, callers lose at most a third of the answers that they lose without it.
   */
  @Test
  public void avoidsTargetThatLosesAnswers() {
    int without = countLostAnswers(false);
    int with = countLostAnswers(true);
    assertTrue(with * 3 <= without, with + " answers lost with detector, " + without + " without");
  }

  private static int countLostAnswers(boolean detect) {
    LostAnswerDetector detector = new LostAnswerDetector();
    Random random = new Random(5);
    int lost = 0;
    long suspectUntil = 0;
    for (long now = SECOND; now < SECOND + 6_500_000_000L; now += SECOND / 50) {
      boolean suspect = now < suspectUntil;
      boolean answerLost = !suspect && random.nextInt(12) == 0 && random.nextDouble() < 0.45;
      if (answerLost) {
        lost++;
        long nanos = detect ? detector.recordLoss("e1", now) : 0;
        suspectUntil = nanos > 0 ? now + nanos : suspectUntil;
      }
    }
    return lost;
  }
}
