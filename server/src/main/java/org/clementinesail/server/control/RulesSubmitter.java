package org.clementinesail.server.control;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;

/** Has rule files accepted, as changes of the latest accepted one. */
public final class RulesSubmitter {
  private static final Duration DEADLINE = Duration.ofSeconds(8);
  private static final long BASE_MOVED_PAUSE_MS = 100;

  private final ControlClient control;
  private final RulesKeeper rules;

  /**
   * Creates a submitter.
   *
   * @param control has commands accepted
   * @param rules the rules in force on this VM
   */
  public RulesSubmitter(ControlClient control, RulesKeeper rules) {
    this.control = control;
    this.rules = rules;
  }

  /** Returns the file in force on this VM. */
  public RulesText inForce() {
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
    long deadline = System.nanoTime() + DEADLINE.toNanos();
    RulesText file = new RulesText(number, text);
    while (true) {
      RulesDelta delta = RulesDelta.between(rules.text(), file);
      CommandResult verdict = control.execute(new Command.SubmitRules(delta, operator), deadline);
      if (!(verdict instanceof CommandResult.RulesBaseMoved moved)) {
        return verdict;
      }
      rules.hinted(moved.latest());
      TimeUnit.MILLISECONDS.sleep(BASE_MOVED_PAUSE_MS);
    }
  }
}
