package org.clementinesail.server.requests;

/**
 * Why a caller gets no answer.
 *
 * @param outcome whether the request ran
 * @param status HTTP status
 * @param code stable word for programs
 * @param message sentence for people
 * @param retryAfterSeconds when to try again, or 0 for no advice
 */
public record CallFailure(
    Outcome outcome, int status, String code, String message, long retryAfterSeconds) {

  private static final int HTTP_UNAVAILABLE = 503;

  /**
   * Returns a refusal of a request that did not run.
   *
   * @param status HTTP status
   * @param code stable word for programs
   * @param message sentence for people
   */
  public static CallFailure notRun(int status, String code, String message) {
    return new CallFailure(
        Outcome.NOT_RUN, status, code, message, status == HTTP_UNAVAILABLE ? 1 : 0);
  }

  /**
   * Returns a failure after which the request may have run.
   *
   * @param status HTTP status
   * @param code stable word for programs
   * @param message sentence for people
   */
  public static CallFailure unknown(int status, String code, String message) {
    return new CallFailure(Outcome.UNKNOWN, status, code, message, 0);
  }
}
