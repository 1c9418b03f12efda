package org.clementinesail.core.admission;

/**
 * A request as its queue sees it. All times are nanoseconds of one monotonic clock.
 *
 * @param id number of the request, different from those of all others of the queue
 * @param rank rank from 0, the most urgent, to 9
 * @param workspace name of the caller's workspace; empty if the route needs no key
 * @param route name of the route
 * @param subject id of the last part of the prompt that other requests share; empty if there is
 *     none
 * @param size expected tokens; a smaller request may find room where a larger one does not
 * @param deadline when its answer is worth nothing any more
 * @param waitUntil when it is refused unless it has got a target
 */
public record WaitingRequest(
    long id,
    int rank,
    String workspace,
    String route,
    String subject,
    long size,
    long deadline,
    long waitUntil) {

  /** Returns whether the request may not be sent to a target any more. */
  boolean isOver(long now) {
    return now - waitUntil >= 0 || now - deadline >= 0;
  }
}
