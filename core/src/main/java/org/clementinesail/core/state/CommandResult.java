package org.clementinesail.core.state;

/**
 * Result of a command, which depends on the state that the command is applied to.
 *
 * <p>An accepted rule file that is submitted again gets its first result, as long as its number is
 * remembered ({@link SystemState#MAX_ACCEPTED_RULES}). Other commands may get another result when
 * they are applied again; for example, a claim is first granted and later ended.
 */
public sealed interface CommandResult {

  /**
   * The rule file is accepted.
   *
   * @param number number of the file
   * @param sha256 SHA-256 of its text
   */
  record RulesAccepted(long number, String sha256) implements CommandResult {}

  /**
   * Another file with this number was accepted before.
   *
   * @param number number of both files
   * @param acceptedSha256 SHA-256 of the accepted file
   * @param acceptedOperator operator who submitted the accepted file
   */
  record RulesConflict(long number, String acceptedSha256, String acceptedOperator)
      implements CommandResult {}

  /**
   * A file with a higher number was accepted before.
   *
   * @param number number of the refused file
   * @param latestNumber number of the latest accepted file
   */
  record RulesStale(long number, long latestNumber) implements CommandResult {}

  /**
   * The delta is based on a file that is no longer the latest; compute it again and resubmit.
   *
   * @param latest number of the latest accepted file
   */
  record RulesBaseOutdated(long latest) implements CommandResult {}

  /** The request that sent the command holds the claim. */
  record ClaimGranted() implements CommandResult {}

  /**
   * Another request holds the claim, and its call has no outcome yet.
   *
   * @param requestId id of the request that holds the claim
   * @param runner name of the VM that runs the call
   */
  record ClaimHeld(String requestId, String runner) implements CommandResult {}

  /**
   * The call has ended.
   *
   * @param ending the recorded outcome
   */
  record ClaimEnded(CallOutcome ending) implements CommandResult {}

  /** The key was used before with another method, path or body. */
  record ClaimMismatch() implements CommandResult {}

  /** An outcome is recorded, by this command or an earlier one. */
  record FinishRecorded() implements CommandResult {}

  /**
   * The outcome is not recorded because the request does not hold the claim, for example because
   * the claim has expired or an earlier {@link CallOutcome.NotRun} has released it.
   */
  record FinishRefused() implements CommandResult {}

  /**
   * The stored desired state is at least as new as the version that was sent.
   *
   * @param version number of the stored version
   */
  record DesiredHeld(long version) implements CommandResult {}
}
