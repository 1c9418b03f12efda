package org.clementinesail.server.requests;

/**
 * An error response to a caller.
 *
 * @param outcome whether the request ran, or may have run
 * @param status HTTP status
 * @param code error code for programs, does not change between versions
 * @param message error message for people
 * @param retryAfterSeconds value of the Retry-After header in seconds, or 0 for none
 */
public record CallFailure(
    Outcome outcome, int status, String code, String message, long retryAfterSeconds) {

  private static final int HTTP_UNAVAILABLE = 503;

  /**
   * Returns the failure of a request that did not run. With status 503 the caller is told to retry
   * after 1 second.
   *
   * @param status HTTP status, 4xx or 5xx
   * @param code error code for programs, does not change between versions
   * @param message error message for people
   */
  public static CallFailure notRun(int status, String code, String message) {
    return new CallFailure(
        Outcome.NOT_RUN, status, code, message, status == HTTP_UNAVAILABLE ? 1 : 0);
  }

  /**
   * Returns the failure of a request that may have run, without a Retry-After header.
   *
   * @param status HTTP status, 4xx or 5xx
   * @param code error code for programs, does not change between versions
   * @param message error message for people
   */
  public static CallFailure unknown(int status, String code, String message) {
    return new CallFailure(Outcome.UNKNOWN, status, code, message, 0);
  }
}
