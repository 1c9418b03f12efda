package org.clementinesail.core.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.testng.annotations.Test;

/** Tests the results of commands on rule files and claims. */
public final class SystemStateTest {

  private static RulesText file(long number, String comment) {
    return new RulesText(number, "number " + number + " # " + comment);
  }

  private static CommandResult submit(SystemState state, RulesText file, String operator) {
    return state.apply(
        new Command.SubmitRules(RulesDelta.between(state.latestRules(), file), operator));
  }

  /** Tests submitted rule files. */
  public static final class SubmitTest {
    /** A second file with the same number is refused and reports the accepted one. */
    @Test
    public void secondFileWithSameNumberConflicts() {
      SystemState state = SystemState.empty();
      RulesText first = file(1, "gwen");
      submit(state, first, "gwen");
      CommandResult second = submit(state, file(1, "aled"), "aled");
      assertEquals(second, new CommandResult.RulesConflict(1, first.digest(), "gwen"));
      assertEquals(state.latestRules(), first);
    }

    /** A resent file gets its first result, also after newer files and a snapshot. */
    @Test
    public void repeatedSubmissionReturnsFirstResult() {
      SystemState state = SystemState.empty();
      RulesText first = file(1, "gwen");
      RulesDelta delta = RulesDelta.between(RulesText.NONE, first);
      CommandResult firstResult = state.apply(new Command.SubmitRules(delta, "gwen"));
      submit(state, file(2, "gwen"), "gwen");
      SystemState restored = SystemState.of(state.contents());
      assertEquals(restored.apply(new Command.SubmitRules(delta, "gwen")), firstResult);
      assertEquals(
          restored.latestRules().number(), 2, "a resend must not bring the older file back");
    }

    /** A file with a number below the latest is refused. */
    @Test
    public void lowerNumberIsStale() {
      SystemState state = SystemState.empty();
      submit(state, file(5, "gwen"), "gwen");
      assertEquals(submit(state, file(4, "gwen"), "gwen"), new CommandResult.RulesStale(4, 5));
    }

    /** A delta based on a file that is no longer the latest is refused and changes nothing. */
    @Test
    public void deltaOfOlderFileIsRefused() {
      SystemState state = SystemState.empty();
      RulesDelta late = RulesDelta.between(RulesText.NONE, file(9, "aled"));
      submit(state, file(5, "gwen"), "gwen");
      assertEquals(
          state.apply(new Command.SubmitRules(late, "aled")),
          new CommandResult.RulesBaseOutdated(5));
      assertEquals(state.latestRules().number(), 5);
    }

    /** A reader with a recent file gets only the deltas since. */
    @Test
    public void returnsDeltasSinceRecentFile() {
      SystemState state = SystemState.empty();
      for (int number = 1; number <= 100; number++) {
        submit(state, file(number, "gwen"), "gwen");
      }
      assertEquals(state.deltasSince(98).orElseThrow().size(), 2);
      assertTrue(state.deltasSince(100).orElseThrow().isEmpty());
      assertTrue(state.deltasSince(1).isEmpty(), "kept only for recent files");
    }
  }

  /** Tests claims on calls that may run only once. */
  public static final class ClaimTest {
    private static final CallKey KEY = new CallKey("w", "k");

    private static CommandResult claim(SystemState state, String id, String body, long time) {
      return state.apply(new Command.ClaimCall(KEY, body, id, "vm-1", time));
    }

    /**
     * Only one request holds the claim, and may claim again; other requests get its holder, or are
     * refused if they reuse the key with another body.
     */
    @Test
    public void claimHasOneHolder() {
      SystemState state = SystemState.empty();
      assertEquals(claim(state, "r1", "b", 1), new CommandResult.ClaimGranted());
      assertEquals(claim(state, "r1", "b", 1), new CommandResult.ClaimGranted());
      assertEquals(claim(state, "r2", "b", 1), new CommandResult.ClaimHeld("r1", "vm-1"));
      assertEquals(claim(state, "r2", "other", 1), new CommandResult.ClaimMismatch());
    }

    /** A repeated request gets the recorded answer, also after a snapshot. */
    @Test
    public void repeatedClaimReturnsRecordedAnswer() {
      SystemState state = SystemState.empty();
      claim(state, "r1", "b", 1);
      CallOutcome answer = new CallOutcome.Answered(201, "text/plain", new byte[] {1});
      state.apply(new Command.FinishCall(KEY, "r1", answer));
      state.apply(new Command.FinishCall(KEY, "r1", new CallOutcome.Unknown()));
      SystemState restored = SystemState.of(state.contents());
      assertEquals(claim(restored, "r2", "b", 2), new CommandResult.ClaimEnded(answer));
    }

    /** Only the holder records an outcome; a call that did not run can be claimed again. */
    @Test
    public void onlyHolderFinishesCall() {
      SystemState state = SystemState.empty();
      claim(state, "r1", "b", 1);
      assertEquals(
          state.apply(new Command.FinishCall(KEY, "r2", new CallOutcome.NotRun())),
          new CommandResult.FinishRefused());
      state.apply(new Command.FinishCall(KEY, "r1", new CallOutcome.NotRun()));
      assertEquals(claim(state, "r2", "b", 2), new CommandResult.ClaimGranted());
    }

    /** A claim is kept for exactly the retention time. */
    @Test
    public void claimExpiresAfterRetention() {
      SystemState state = SystemState.empty();
      claim(state, "r1", "b", 1_000);
      long kept = 1_000 + SystemState.CLAIM_RETENTION_MILLIS;
      assertEquals(claim(state, "r2", "b", kept), new CommandResult.ClaimHeld("r1", "vm-1"));
      assertEquals(claim(state, "r2", "b", kept + 1), new CommandResult.ClaimGranted());
    }
  }
}
