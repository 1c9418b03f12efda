package org.clementinesail.server.control;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;

/** Has rule files accepted, as changes of the latest accepted one. */
public final class RulesSubmitter {
  private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(8);
  private static final long BASE_OUTDATED_RETRY_DELAY_MS = 100;

  private final ControlClient control;
  private final RulesSynchronizer rules;

  /**
   * Creates a submitter.
   *
   * @param control has commands accepted
   * @param rules the rules in force on this VM
   */
  public RulesSubmitter(ControlClient control, RulesSynchronizer rules) {
    this.control = control;
    this.rules = rules;
  }

  /** Returns the file in force on this VM. */
  public RulesText rulesInForce() {
    return rules.text();
  }

  /**
   * Submits a valid file.
   *
   * @param number number that the file carries
   * @param text whole text
   * @param operator who submits it
   * @return the verdict of the replicas
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
