package org.clementinesail.core.state;

/** What a command came to; the same command applied again comes to the same. */
public sealed interface CommandResult {

  /**
   * The rule file is accepted.
   *
   * @param number number of the file
   * @param sha256 its SHA-256
   */
  record RulesAccepted(long number, String sha256) implements CommandResult {}

  /**
   * Another file with the same number was accepted before.
   *
   * @param number the number that both carry
   * @param acceptedSha256 SHA-256 of the accepted file
   * @param acceptedOperator who submitted it
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
   * The change starts from a file that is not the latest any more; submit it again.
   *
   * @param latest number of the latest accepted file
   */
  record RulesBaseOutdated(long latest) implements CommandResult {}

  /** The claim is held by the request that asked. */
  record ClaimGranted() implements CommandResult {}

  /**
   * Another request holds the claim and has not ended.
   *
   * @param requestId the request that holds it
   * @param runner VM that runs it
   */
  record ClaimHeld(String requestId, String runner) implements CommandResult {}

  /**
   * The call has ended.
   *
   * @param ending how it ended
   */
  record ClaimEnded(CallOutcome ending) implements CommandResult {}

  /** The key was used before with another method, path or body. */
  record ClaimMismatch() implements CommandResult {}

  /** The ending is recorded, or was before. */
  record FinishRecorded() implements CommandResult {}

  /** The request that ends the call does not hold the claim. */
  record FinishRefused() implements CommandResult {}

  /**
   * The desired state is at least as new as the version that was sent.
   *
   * @param version number of the version held
   */
  record DesiredHeld(long version) implements CommandResult {}
}
