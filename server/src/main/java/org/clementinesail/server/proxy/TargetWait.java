package org.clementinesail.server.proxy;

import java.util.concurrent.TimeUnit;

/** Whether a request waits before it is sent to a target, and until when. */
final class TargetWait {
  /** Pause before a stream that has begun is tried again; short beside the pauses of targets. */
  static final long STREAM_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private boolean waiting;
  private long until;

  /**
   * Begins to wait.
   *
   * @param until when a target is looked for again, in nanoseconds of the monotonic clock
   */
  void begin(long until) {
    waiting = true;
    this.until = until;
  }

  /** Ends the wait. */
  void end() {
    waiting = false;
  }

  /** Returns whether the request waits. */
  boolean isWaiting() {
    return waiting;
  }

  /** Returns whether the request waits and may look for a target again. */
  boolean isOver(long now) {
    return waiting && now - until >= 0;
  }
}
