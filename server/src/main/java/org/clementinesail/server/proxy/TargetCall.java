package org.clementinesail.server.proxy;

/** A request in progress at a target. */
public interface TargetCall {

  /** Stops it: the connection is closed and the listener hears nothing more. */
  void cancel();

  /**
   * Holds back or lets in more of the answer.
   *
   * @param reading whether to read
   */
  void setReading(boolean reading);
}
