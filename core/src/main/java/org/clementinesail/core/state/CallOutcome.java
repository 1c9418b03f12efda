package org.clementinesail.core.state;

/** How a claimed call ended. */
public sealed interface CallOutcome {

  /**
   * The target answered.
   *
   * @param status HTTP status
   * @param contentType value of the Content-Type header, possibly empty
   * @param body body of the answer; not copied, not to be changed
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(int status, String contentType, byte[] body) implements CallOutcome {}

  /** The call may or may not have run. */
  record Unknown() implements CallOutcome {}

  /** The call certainly did not run and never will; the claim is given back. */
  record NotRun() implements CallOutcome {}
}
