package org.clementinesail.server.proxy;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.HashSet;
import java.util.Set;
import org.clementinesail.core.desired.Route;
import org.jspecify.annotations.Nullable;

/** Counts the attempts of a request by outcome, for retry limits and the final status. */
final class AttemptCounts {
  /** Refusals after which the request ends. */
  private static final int MAX_REFUSALS = 4;

  /** Maximum number of attempts that dead targets add to the route's maximum. */
  private static final int MAX_EXTRA_ATTEMPTS = 2;

  private final int earlierRuns;
  private int sentTotal;
  private int notSent;
  private int refusals;
  private int possibleRuns;
  private final Multiset<String> targets = HashMultiset.create();
  private final Set<String> deadTargets = new HashSet<>();
  private final Set<String> resentTo = new HashSet<>();

  /**
   * Creates counts without attempts.
   *
   * @param earlierRuns on how many targets the request may have run before this VM got it
   */
  AttemptCounts(int earlierRuns) {
    this.earlierRuns = earlierRuns;
  }

  /** Records the start of an attempt, even if nothing is sent in the end. */
  void recordSent() {
    sentTotal++;
  }

  /** Records that nothing of an attempt reached its target. */
  void recordNotSent() {
    notSent++;
  }

  int notSentCount() {
    return notSent;
  }

  /** Returns on how many targets that have not ended the request may have run. */
  int runningTargets() {
    Set<String> running = new HashSet<>(targets.elementSet());
    running.removeAll(deadTargets);
    return running.size();
  }

  /** Returns whether an attempt may have reached its target, which refused it or not. */
  boolean mayHaveArrived() {
    return sentTotal > notSent;
  }

  /** Records that a target has not run the request and never will. */
  void recordRefusal() {
    refusals++;
  }

  /** Records that a target may have run the request. */
  void recordPossibleRun(String target) {
    possibleRuns++;
    targets.add(target);
  }

  /** Takes back a possible run: the target refused the request after all, or still runs it. */
  void removePossibleRun(String target) {
    possibleRuns--;
    targets.remove(target);
  }

  /** Records that a target ended, or cannot be reached any more, after it got the request. */
  void recordDeadTarget(String target) {
    deadTargets.add(target);
  }

  /** Takes back that a target ended: it goes on with the request. */
  void removeDeadTarget(String target) {
    deadTargets.remove(target);
  }

  /** Records that the request is sent once more to a target that it may have run on. */
  void recordResend(String target) {
    resentTo.add(target);
  }

  int sentCount() {
    return sentTotal;
  }

  int possibleRunCount() {
    return possibleRuns;
  }

  /** Returns whether the request has certainly not run anywhere. */
  boolean certainlyNotRun() {
    return possibleRuns == 0;
  }

  /** Returns whether the request may have run on a target. */
  boolean mayHaveRunOn(String target) {
    return targets.contains(target);
  }

  /** Returns whether the request has been refused too often to try another target. */
  boolean refusalLimitReached() {
    return refusals >= MAX_REFUSALS;
  }

  /** Returns whether another target may get the request if the current one has failed. */
  boolean mayRetry(@Nullable Route route, String currentTarget) {
    int count = targets.elementSet().size() + (targets.contains(currentTarget) ? 0 : 1);
    return mayRunAgain(route, count, possibleRuns + 1);
  }

  /** Returns whether another target may get the request after all that was recorded. */
  boolean mayTryAnother(@Nullable Route route) {
    return certainlyNotRun() || mayRunAgain(route, targets.elementSet().size(), possibleRuns);
  }

  /**
   * Returns whether a target may get the request a second time, because it closed a connection that
   * was kept open before it answered anything.
   */
  boolean mayResend(@Nullable Route route, String target) {
    return route != null && route.repeatable() && !resentTo.contains(target);
  }

  private boolean mayRunAgain(@Nullable Route route, int targetCount, int runs) {
    if (route == null || !route.repeatable()) {
      return false;
    }
    int limit = route.maxAttempts() + Math.min(deadTargets.size(), MAX_EXTRA_ATTEMPTS);
    return targetCount + earlierRuns < limit && runs + earlierRuns - resentTo.size() < limit;
  }
}
