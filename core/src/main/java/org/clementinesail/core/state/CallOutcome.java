package org.clementinesail.core.state;

/** Outcome of a claimed call. */
public sealed interface CallOutcome {

  /**
   * The target answered, with any status.
   *
   * @param status HTTP status code
   * @param contentType value of the Content-Type header, possibly empty
   * @param body body of the answer; not copied, must not be changed
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(int status, String contentType, byte[] body) implements CallOutcome {}

  /** It is unknown whether the call ran. */
  record Unknown() implements CallOutcome {}

  /** The call did not run and never will; its claim is released. */
  record NotRun() implements CallOutcome {}
}
