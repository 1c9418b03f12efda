package org.clementinesail.core.state;

import org.clementinesail.core.rules.RulesDelta;

/** A command of the replicated state machine, applied once it is committed. */
public sealed interface Command {

  /**
   * Submits a rule file.
   *
   * @param delta the file as a delta to the latest accepted one
   * @param operator name of the operator, reported to another who submits the same number
   */
  record SubmitRules(RulesDelta delta, String operator) implements Command {}

  /**
   * Claims the right to run a call that may run only once.
   *
   * @param key workspace and idempotency key of the call
   * @param bodyDigest digest of method, path and body, to detect reuse of a key for another call
   * @param requestId id of the request that wants to run it
   * @param runner VM that would run it
   * @param timeMillis wall-clock time of the proposer, in milliseconds since 1970
   */
  record ClaimCall(CallKey key, String bodyDigest, String requestId, String runner, long timeMillis)
      implements Command {}

  /**
   * Records the outcome of a claimed call.
   *
   * @param key workspace and idempotency key of the call
   * @param requestId id of the request that holds the claim
   * @param outcome the answer, or whether the call may have run
   */
  record FinishCall(CallKey key, String requestId, CallOutcome outcome) implements Command {}

  /**
   * Stores a version of the desired state, unless a version at least as high is stored.
   *
   * @param document version and content
   */
  record PutDesired(DesiredDocument document) implements Command {}
}
