package org.clementinesail.server.requests;

/** Result of a service call. */
public sealed interface ServiceResult {

  /**
   * The service answered.
   *
   * @param status HTTP status of the response
   * @param contentType value of the Content-Type header, possibly empty
   * @param body response body; not copied, must not be modified
   * @param replayed whether this is the stored response to an earlier call with the same key
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(int status, String contentType, byte[] body, boolean replayed)
      implements ServiceResult {}

  /**
   * There is no response from the service.
   *
   * @param failure error to return to the caller
   */
  record Failed(CallFailure failure) implements ServiceResult {}
}
