package org.clementinesail.core.limits;

/**
 * Decides which requests a VM still begins while it stops as planned: late ones only if they end
 * before the stop does, as the others would be cut off and their callers could not tell whether
 * they have run. All times are nanoseconds of one monotonic clock.
 *
 * @param lateFrom when callers can have heard that the VM stops, so that requests come late
 * @param endsAt when the requests in progress are ended
 */
public record PlannedStop(long lateFrom, long endsAt) {
  /**
   * Returns whether a request may begin.
   *
   * @param now current time
   * @param deadline when the request ends at the latest
   */
  public boolean mayBegin(long now, long deadline) {
    return now - lateFrom < 0 || deadline - endsAt <= 0;
  }
}
