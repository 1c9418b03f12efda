package org.clementinesail.core.rules;

import java.util.HashMap;
import java.util.Map;

/**
 * The rules that one VM obeys, and whether it may still admit new work under them.
 *
 * <p>Versions only rise. A VM that could not confirm its rules in time admits nothing, because a
 * newer file may be in force elsewhere; unless most replicas show that no file can be accepted.
 */
public final class RulesInForce {
  private final long confirmationValidNanos;
  private final int replicas;
  private final Map<String, Long> leaderlessUntil = new HashMap<>();
  private RulesText text = RulesText.NONE;
  private RuleSet rules = RuleSet.EMPTY;
  private boolean everConfirmed;
  private long confirmedUntil;

  /**
   * Creates the state of a VM that knows no rules.
   *
   * @param confirmNanos how long a confirmation holds, in nanoseconds
   * @param replicas how many replicas the site has
   */
  public RulesInForce(long confirmNanos, int replicas) {
    this.confirmationValidNanos = confirmNanos;
    this.replicas = replicas;
  }

  /** Returns the rules to obey. */
  public RuleSet rules() {
    return rules;
  }

  /** Returns the text of the rules to obey. */
  public RulesText text() {
    return text;
  }

  /**
   * Takes an answer that a majority confirmed.
   *
   * @param latest the latest accepted file
   * @param askedAt when the question was sent, which the confirmation counts from
   * @return whether a newer file came into force
   */
  public boolean confirm(RulesText latest, long askedAt) {
    if (latest.number() < text.number()) {
      return false;
    }
    boolean newer = latest.number() > text.number();
    if (newer) {
      if (!(RuleParser.parse(latest.text()) instanceof RuleParseResult.Valid valid)) {
        return false;
      }
      text = latest;
      rules = valid.rules();
    }
    long until = askedAt + confirmationValidNanos;
    confirmedUntil = everConfirmed ? Math.max(confirmedUntil, until) : until;
    everConfirmed = true;
    return newer;
  }

  /**
   * Notes that a replica cannot take part in accepting a file: it has no leader, or its process is
   * not there.
   *
   * @param vm VM of the replica
   * @param now present time
   */
  public void recordReplicaWithoutLeader(String vm, long now) {
    leaderlessUntil.put(vm, now + confirmationValidNanos);
  }

  /**
   * Notes that a replica follows a leader again.
   *
   * @param vm VM of the replica
   */
  public void recordReplicaWithLeader(String vm) {
    leaderlessUntil.remove(vm);
  }

  /**
   * Returns whether the rules are known to be the latest, by a majority's word.
   *
   * @param now present time
   */
  public boolean confirmed(long now) {
    return everConfirmed && now - confirmedUntil < 0;
  }

  /**
   * Returns whether new work may be admitted.
   *
   * @param now present time
   */
  public boolean mayAdmit(long now) {
    return confirmed(now) || (everConfirmed && noFileCanBeAccepted(now));
  }

  private boolean noFileCanBeAccepted(long now) {
    long without = leaderlessUntil.values().stream().filter(until -> until - now > 0).count();
    int majority = replicas / 2 + 1;
    return replicas - without < majority;
  }
}
