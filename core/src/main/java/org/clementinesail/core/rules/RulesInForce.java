package org.clementinesail.core.rules;

import java.util.HashMap;
import java.util.Map;

/**
 * The rules that one VM applies, and whether it may still admit new work under them.
 *
 * <p>The number of the rule file never decreases. A VM admits no new work once the confirmation of
 * its rules has expired, because a newer file may be in force on other VMs. It still admits work if
 * so many replicas are known to have no leader that the others are not a majority, since then no
 * newer file can be accepted.
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
   * Creates the state of a VM that has no rules yet.
   *
   * @param confirmationValidNanos how long a confirmation is valid, in nanoseconds
   * @param replicas number of replicas of the site
   */
  public RulesInForce(long confirmationValidNanos, int replicas) {
    this.confirmationValidNanos = confirmationValidNanos;
    this.replicas = replicas;
  }

  /** Returns the rules to apply; {@link RuleSet#EMPTY} before the first confirmed file. */
  public RuleSet rules() {
    return rules;
  }

  /** Returns the text of the rules to apply; {@link RulesText#NONE} before the first one. */
  public RulesText text() {
    return text;
  }

  /**
   * Applies an answer that a majority of the replicas confirmed. A file that is older than the
   * present one, or that is newer but invalid, is ignored and confirms nothing.
   *
   * @param latest the latest accepted file
   * @param requestSentAt when the request for the answer was sent, in nanoseconds of the monotonic
   *     clock; the validity of the confirmation counts from this time
   * @return whether a newer file came into force
   */
  public boolean confirm(RulesText latest, long requestSentAt) {
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
    long until = requestSentAt + confirmationValidNanos;
    confirmedUntil = everConfirmed ? Math.max(confirmedUntil, until) : until;
    everConfirmed = true;
    return newer;
  }

  /**
   * Records that a replica cannot take part in accepting a file, because it has no leader or its
   * process does not run. The record expires after the time for which a confirmation is valid.
   *
   * @param vm name of the replica's VM
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordReplicaWithoutLeader(String vm, long now) {
    leaderlessUntil.put(vm, now + confirmationValidNanos);
  }

  /**
   * Records that a replica has a leader again.
   *
   * @param vm name of the replica's VM
   */
  public void recordReplicaWithLeader(String vm) {
    leaderlessUntil.remove(vm);
  }

  /**
   * Returns whether a majority has confirmed recently that the rules are the latest.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public boolean confirmed(long now) {
    return everConfirmed && now - confirmedUntil < 0;
  }

  /**
   * Returns whether new work may be admitted; false before the first confirmation.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public boolean mayAdmit(long now) {
    return confirmed(now) || (everConfirmed && noFileCanBeAccepted(now));
  }

  private boolean noFileCanBeAccepted(long now) {
    long leaderless = leaderlessUntil.values().stream().filter(until -> until - now > 0).count();
    int majority = replicas / 2 + 1;
    return replicas - leaderless < majority;
  }
}
