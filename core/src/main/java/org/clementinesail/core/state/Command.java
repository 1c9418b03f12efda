package org.clementinesail.core.state;

import org.clementinesail.core.rules.RulesDelta;

/** A command of the replicated state machine. */
public sealed interface Command {

  /**
   * Submits a rule file.
   *
   * @param delta the file as a change of the latest accepted one
   * @param operator who submits it, for the loser of a race to know
   */
  record SubmitRules(RulesDelta delta, String operator) implements Command {}

  /**
   * Claims the right to run a call that may not be repeated.
   *
   * @param key the call
   * @param bodyDigest digest of method, path and body, so that a key is not used twice
   * @param requestId id of the request that wants to run it
   * @param runner VM that would run it
   * @param timeMillis wall-clock time of the proposer, in milliseconds since 1970
   */
  record ClaimCall(CallKey key, String bodyDigest, String requestId, String runner, long timeMillis)
      implements Command {}

  /**
   * Records how a claimed call ended.
   *
   * @param key the call
   * @param requestId id of the request that holds the claim
   * @param outcome how it ended
   */
  record FinishCall(CallKey key, String requestId, CallOutcome outcome) implements Command {}

  /**
   * Puts a version of the desired state in force, unless a version as high is held.
   *
   * @param document the version
   */
  record PutDesired(DesiredDocument document) implements Command {}
}
