package org.clementinesail.server.proxy;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Tells since when a caller has been sending nothing, and until when it may. */
final class IdleTime {
  private final LongSupplier limitMillis;
  private long since;
  private long until;

  /**
   * Creates an instance that begins now.
   *
   * @param limitMillis supplies the longest idle time in milliseconds
   */
  IdleTime(LongSupplier limitMillis) {
    this.limitMillis = limitMillis;
    begin();
  }

  /** Begins anew, with the limit that the caller knows now. */
  void begin() {
    since = System.nanoTime();
    until = since + limitNanos();
  }

  /** Returns the {@link System#nanoTime} of the last beginning. */
  long since() {
    return since;
  }

  boolean isOver(long now) {
    return now - until >= 0;
  }

  long limitNanos() {
    return TimeUnit.MILLISECONDS.toNanos(limitMillis.getAsLong());
  }
}
