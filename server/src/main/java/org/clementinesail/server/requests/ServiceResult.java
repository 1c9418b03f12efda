package org.clementinesail.server.requests;

/** How a service call ended. */
public sealed interface ServiceResult {

  /**
   * The service answered.
   *
   * @param status HTTP status
   * @param contentType value of the Content-Type header, possibly empty
   * @param body body of the answer; not copied, not to be changed
   * @param replayed whether the answer is that of an earlier call with the same key
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(int status, String contentType, byte[] body, boolean replayed)
      implements ServiceResult {}

  /**
   * There is no answer.
   *
   * @param failure why
   */
  record Failed(CallFailure failure) implements ServiceResult {}
}
