package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.clementinesail.core.limits.ClientLimits;

/** Collects the body of a caller's request, and counts the memory of its head with it. */
final class RequestBody {
  private final ByteBuf bytes = Unpooled.buffer(0);
  private final BufferLimit.Reservation reservation;
  private int headBytes;
  private long begunAt;
  private boolean complete;

  /** What became of a part of the body. */
  enum Result {
    ADDED,
    /** The body is longer than requests may be. */
    TOO_LONG,
    /** The requests of all callers together take too much memory. */
    NO_MEMORY
  }

  /**
   * Creates an empty body.
   *
   * @param limit limit of the memory of all requests
   * @param refuse refuses the request and releases this body, while it is incomplete
   */
  RequestBody(BufferLimit limit, Runnable refuse) {
    reservation =
        limit.reservation(
            new BufferLimit.Holder() {
              @Override
              public boolean mayBeEnded() {
                return !complete;
              }

              @Override
              public void end() {
                refuse.run();
              }
            });
  }

  /** Counts the head; returns false if there is no memory for it. */
  boolean begin(int headSize) {
    headBytes = headSize;
    begunAt = System.nanoTime();
    return reservation.resize(headSize);
  }

  /** Adds a copy of the next part unless the body would become longer than allowed. */
  Result add(ByteBuf part, int maxBytes) {
    int size = bytes.readableBytes() + part.readableBytes();
    if (size > maxBytes) {
      return Result.TOO_LONG;
    } else if (!reservation.resize(headBytes + size)) {
      return Result.NO_MEMORY;
    }
    bytes.writeBytes(part);
    return Result.ADDED;
  }

  /** Returns whether the body arrives at too low a rate. */
  boolean isLate(long now, ClientLimits limits, long idleTimeoutMillis) {
    return now - begunAt > limits.maxBodyNanos(bytes.readableBytes(), idleTimeoutMillis);
  }

  /** Ends the collection; the body is kept until it is released. */
  void complete() {
    complete = true;
  }

  ByteBuf bytes() {
    return bytes;
  }

  /** Releases the memory; may be called more than once. */
  void release() {
    reservation.release();
    if (bytes.refCnt() > 0) {
      bytes.release();
    }
  }
}
