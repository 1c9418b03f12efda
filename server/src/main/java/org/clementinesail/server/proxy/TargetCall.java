package org.clementinesail.server.proxy;

/** A request that was sent, or is being sent, to a target. */
public interface TargetCall {

  /** Closes the connection; the listener is not called any more. */
  void cancel();

  /** Cancels the call if nothing of it was sent yet; returns whether it did. */
  default boolean cancelUnsent() {
    return false;
  }

  /** Ends the wait for bytes after a whole response, which the listener then receives. */
  default void endWait() {}

  /**
   * Pauses or resumes reading the response, for backpressure.
   *
   * @param reading true to read, false to pause
   */
  void setReading(boolean reading);
}
