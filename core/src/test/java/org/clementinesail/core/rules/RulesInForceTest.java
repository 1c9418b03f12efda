package org.clementinesail.core.rules;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests that rule files are never replaced by older ones, and when a VM may admit new work. */
public final class RulesInForceTest {
  private static final long CONFIRMATION_VALID_NANOS = 100;

  private static RulesText file(long number) {
    return new RulesText(number, "number " + number + " # a\ndrain target=e" + number + " # a");
  }

  /** A delayed answer with an older file neither replaces the rules nor confirms them. */
  @Test
  public void ignoresOlderFile() {
    RulesInForce rules = new RulesInForce(CONFIRMATION_VALID_NANOS, 3);
    assertTrue(rules.confirm(file(5), 0));
    assertFalse(rules.confirm(file(4), 50));
    assertEquals(rules.rules().number(), 5);
    assertFalse(rules.confirmed(CONFIRMATION_VALID_NANOS + 1), "an older answer must not confirm");
  }

  /** No work is admitted before the first confirmation, nor after the last one has expired. */
  @Test
  public void admitsOnlyWhileConfirmed() {
    RulesInForce rules = new RulesInForce(CONFIRMATION_VALID_NANOS, 3);
    assertFalse(rules.mayAdmit(0));
    rules.confirm(file(1), 10);
    assertTrue(rules.mayAdmit(10 + CONFIRMATION_VALID_NANOS - 1));
    assertFalse(rules.mayAdmit(10 + CONFIRMATION_VALID_NANOS));
  }

  /** While a majority of the replicas has no leader, no newer file can be accepted. */
  @Test
  public void admitsWhileNoFileCanBeAccepted() {
    RulesInForce rules = new RulesInForce(CONFIRMATION_VALID_NANOS, 3);
    rules.confirm(file(1), 0);
    rules.recordReplicaWithoutLeader("a", 200);
    assertFalse(rules.mayAdmit(210), "two replicas may still accept a file");
    rules.recordReplicaWithoutLeader("b", 205);
    assertTrue(rules.mayAdmit(210));
    rules.recordReplicaWithLeader("b");
    assertFalse(rules.mayAdmit(210));
    rules.recordReplicaWithoutLeader("b", 210);
    assertFalse(rules.mayAdmit(301), "the record for replica a has expired");
  }

  /** Deltas rebuild the newer file after random changes, with a fixed seed. */
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
