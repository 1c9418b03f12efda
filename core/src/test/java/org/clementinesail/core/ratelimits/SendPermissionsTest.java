package org.clementinesail.core.ratelimits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a limit begins and ends, and what permits allow. */
public final class SendPermissionsTest {
  private static final TargetStatement TARGET = target(1);
  private static final RateStatement LIMITED = new RateStatement.Limited(2);
  private static final RateStatement UNLIMITED = new RateStatement.Unlimited();

  private SendPermissions permissions = new SendPermissions(new Random(1));

  private static TargetStatement target(long startedAt) {
    return new TargetStatement("t", "s", "h:1", "a", 8, Phase.READY, "", null, startedAt, 1);
  }

  private static long seconds(double seconds) {
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }

  /** Starts each test without limits, and with contact to a leader that grants nothing. */
  @BeforeMethod
  public void start() {
    permissions = new SendPermissions(new Random(1));
    permissions.receive(List.of(), seconds(1));
  }

  private void answer(RateStatement statement, double sentAt, double now) {
    permissions.recordAnswer(TARGET, statement, seconds(sentAt), seconds(now));
  }

  private boolean maySend(TargetStatement target, double now) {
    return permissions.maySend(target, 9, seconds(now));
  }

  /** Limits, ends and starts. */
  @Test
  public void answerSentAfterLimitEndsIt() {
    answer(LIMITED, 0.9, 1);
    assertFalse(maySend(TARGET, 1.1));
    answer(UNLIMITED, 1.2, 1.3);
    assertTrue(maySend(TARGET, 1.4));
  }

  /** An answer to a request from before the limit arrives late, and must not end it. */
  @Test
  public void overtakenAnswerDoesNotEndLimit() {
    answer(LIMITED, 0.9, 1);
    answer(UNLIMITED, 0.8, 1.1);
    assertFalse(maySend(TARGET, 1.2));
  }

  /** The limit of an earlier start says nothing about a later one. */
  @Test
  public void limitEndsWithTheStart() {
    answer(LIMITED, 0.9, 1);
    assertTrue(maySend(target(2), 1.1));
    assertFalse(permissions.recordAnswer(target(2), LIMITED, 0, seconds(1.2)).isEmpty());
    assertTrue(permissions.recordAnswer(TARGET, LIMITED, 0, seconds(1.3)).isEmpty());
  }

  /** An answer that cannot be read neither sets nor ends a limit. */
  @Test
  public void unclearAnswerChangesNothing() {
    answer(new RateStatement.Unclear(), 0.9, 1);
    assertTrue(maySend(TARGET, 1));
    answer(LIMITED, 0.9, 1);
    answer(new RateStatement.Unclear(), 1.1, 1.2);
    assertFalse(maySend(TARGET, 1.3));
  }

  /** A permit allows one request. */
  @Test
  public void permitAllowsOneRequest() {
    answer(LIMITED, 0.9, 1);
    permissions.receive(List.of(new Permits.Grant(7, "t", 1, 1)), seconds(1));
    assertTrue(maySend(TARGET, 1.1));
    permissions.recordSent(TARGET, 9, seconds(1.1));
    assertFalse(maySend(TARGET, 1.1));
    assertEquals(permissions.takeClosed(seconds(1.2)), List.of(new Permits.Closed(7, 0)));
  }

  /** A VM that stood still must not use the permits from before. */
  @Test
  public void permitExpires() {
    answer(LIMITED, 0.9, 1);
    permissions.receive(List.of(new Permits.Grant(7, "t", 1, 3)), seconds(1));
    permissions.recordSent(TARGET, 9, seconds(1.1));
    assertFalse(maySend(TARGET, 2.6));
    assertEquals(permissions.takeClosed(seconds(2.6)), List.of(new Permits.Closed(7, 2)));
  }

  /** A target with a limit of 0 still gets a request now and then, which shows the end of it. */
  @Test
  public void targetWithLimitOfZeroIsAskedAgain() {
    answer(new RateStatement.Limited(0), 0.9, 1);
    int sent = 0;
    for (double now = 5; now < 125; now += 0.1) {
      if (permissions.maySend(TARGET, 1, seconds(now))) {
        permissions.recordSent(TARGET, 1, seconds(now));
        sent++;
      }
    }
    assertTrue(sent >= 1 && sent <= 6, "sent " + sent);
  }
}
