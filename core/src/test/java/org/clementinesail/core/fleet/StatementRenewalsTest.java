package org.clementinesail.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that renewals keep exactly the leases of the statements that they name. */
public class StatementRenewalsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long LEASE = 3 * SECOND;

  private Fleet fleet = new Fleet(LEASE);
  private StatementRenewals renewals = new StatementRenewals(fleet);

  @BeforeMethod
  public void clear() {
    fleet = new Fleet(LEASE);
    renewals = new StatementRenewals(fleet);
  }

  private static TargetStatement statement(String id, long startedAt, long sequence) {
    return new TargetStatement(
        id, "s", id + ":80", "a", 8, Phase.READY, "", null, startedAt, sequence);
  }

  private int ready(long now) {
    return fleet.ready("s", now).size();
  }

  /** After a lost renewal the next one keeps the lease; without any, the lease ends as before. */
  @Test
  public void leaseEndsOnlyWithoutRenewals() {
    TargetStatement stated = statement("t", 10, 1);
    fleet.recordStatement(stated, 0);
    // The renewal with sequence 2 is lost.
    assertTrue(renewals.renew(stated.digest(), 3, 2 * SECOND));
    assertEquals(ready(2 * SECOND + LEASE - 1), 1);
    assertEquals(ready(2 * SECOND + LEASE), 0);
    assertTrue(renewals.renew(stated.digest(), 6, 6 * SECOND));
    assertEquals(ready(6 * SECOND), 1);
    assertTrue(renewals.renew(stated.digest(), 5, 7 * SECOND));
    assertEquals(ready(6 * SECOND + LEASE), 0, "a late renewal extended the lease");
  }

  /** A renewal of an unknown target, of another start or of other slots would be a guess. */
  @Test
  public void renewalOfAnotherStatementChangesNothing() {
    TargetStatement stated = statement("t", 10, 1);
    assertFalse(renewals.renew(stated.digest(), 1, 0));
    assertEquals(fleet.size(), 0);
    fleet.recordStatement(stated, 0);
    assertFalse(renewals.renew(statement("t", 11, 1).digest(), 2, SECOND));
    assertEquals(ready(LEASE), 0);
    fleet.recordStatement(statement("t", 11, 3), LEASE);
    assertFalse(renewals.renew(stated.digest(), 4, LEASE + SECOND), "the start before the restart");
    assertTrue(renewals.renew(statement("t", 11, 0).digest(), 4, LEASE + 2 * SECOND));
  }

  /** Two builds must compute the same digest, or each renewal would request a full update. */
  @Test
  public void digestStaysTheSame() {
    assertEquals(statement("t", 10, 1).digest(), 7_472_878_026_190_668_646L);
    assertNotEquals(statement("t", 10, 1).digest(), statement("t", 11, 1).digest());
  }
}
