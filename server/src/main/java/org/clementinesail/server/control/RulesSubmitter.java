package org.clementinesail.server.control;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;

/** Submits rule files to the replicas as deltas to the latest accepted file. */
public final class RulesSubmitter {
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(8);
  private static final long BASE_OUTDATED_RETRY_DELAY_MS = 100;

  private final ControlClient control;
  private final RulesSynchronizer rules;

  /**
   * Creates a submitter.
   *
   * @param control sends commands to the leading replica
   * @param rules supplies the rule file that deltas start from
   */
  public RulesSubmitter(ControlClient control, RulesSynchronizer rules) {
    this.control = control;
    this.rules = rules;
  }

  /** Returns the number and text of the rule file in force on this VM. */
  public RulesText rulesInForce() {
    return rules.text();
  }

  /**
   * Submits a rule file and waits up to 8 seconds. If the file in force on this VM is outdated,
   * requests the latest one and submits a new delta to it.
   *
   * @param number number in the file
   * @param text full text of the file, which must be valid
   * @param operator name of the operator who submits it
   * @return whether the replicas accepted the file, or why not
   * @throws ControlException if no majority answered in time; the file may still be accepted
   * @throws InterruptedException if the thread is interrupted
   */
  public CommandResult submit(long number, String text, String operator)
      throws InterruptedException {
    long deadline = System.nanoTime() + SUBMIT_TIMEOUT.toNanos();
    RulesText file = new RulesText(number, text);
    while (true) {
      RulesDelta delta = RulesDelta.between(rules.text(), file);
      CommandResult result = control.execute(new Command.SubmitRules(delta, operator), deadline);
      if (!(result instanceof CommandResult.RulesBaseOutdated baseOutdated)) {
        return result;
      }
      rules.onRulesHint(baseOutdated.latest());
      TimeUnit.MILLISECONDS.sleep(BASE_OUTDATED_RETRY_DELAY_MS);
    }
  }
}
