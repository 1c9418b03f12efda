package org.clementinesail.core.rules;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Rules of one VM: rising versions, and when it may admit work under them. */
public final class RulesInForceTest {
  private static final long HOLD = 100;

  private static RulesText file(long number) {
    return new RulesText(number, "number " + number + " # a\ndrain target=e" + number + " # a");
  }

  /** A slow answer with an older file changes nothing. */
  @Test
  public void neverReverts() {
    RulesInForce rules = new RulesInForce(HOLD, 3);
    assertTrue(rules.confirm(file(5), 0));
    assertFalse(rules.confirm(file(4), 50));
    assertEquals(rules.rules().number(), 5);
    assertFalse(rules.confirmed(HOLD + 1), "an older answer must not confirm");
  }

  /** Nothing is admitted before the first confirmed answer, nor after the last one has lapsed. */
  @Test
  public void admitsOnlyWhileConfirmed() {
    RulesInForce rules = new RulesInForce(HOLD, 3);
    assertFalse(rules.mayAdmit(0));
    rules.confirm(file(1), 10);
    assertTrue(rules.mayAdmit(10 + HOLD - 1));
    assertFalse(rules.mayAdmit(10 + HOLD));
  }

  /** While most replicas show that they have no leader, no newer file can exist. */
  @Test
  public void admitsWhileNoFileCanBeAccepted() {
    RulesInForce rules = new RulesInForce(HOLD, 3);
    rules.confirm(file(1), 0);
    rules.recordReplicaWithoutLeader("a", 200);
    assertFalse(rules.mayAdmit(210), "two replicas may still accept a file");
    rules.recordReplicaWithoutLeader("b", 205);
    assertTrue(rules.mayAdmit(210));
    rules.recordReplicaWithLeader("b");
    assertFalse(rules.mayAdmit(210));
    rules.recordReplicaWithoutLeader("b", 210);
    assertFalse(rules.mayAdmit(301), "the evidence of a has lapsed");
  }

  /** Deltas rebuild the file, whatever was changed; checked for a fixed seed. */
  @Test
  public void deltaRebuildsTheFile() {
    Random random = new Random(7);
    RulesText held = file(1);
    for (int number = 2; number < 200; number++) {
      StringBuilder text = new StringBuilder("number " + number + " # a\n");
      for (int i = 0; i < random.nextInt(20); i++) {
        text.append("drain target=e").append(random.nextInt(30)).append(" # a\n");
      }
      RulesText next = new RulesText(number, text.toString());
      assertEquals(RulesDelta.between(held, next).applyTo(held).orElseThrow(), next);
      assertTrue(RulesDelta.between(held, next).applyTo(next).isEmpty());
      held = next;
    }
  }
}
