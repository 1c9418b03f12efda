package org.clementinesail.server.proxy;

/** A request that was sent, or is being sent, to a target. */
public interface TargetCall {

  /** Closes the connection; the listener is not called any more. */
  void cancel();

  /**
   * Pauses or resumes reading the response, for backpressure.
   *
   * @param reading true to read, false to pause
   */
  void setReading(boolean reading);
}
