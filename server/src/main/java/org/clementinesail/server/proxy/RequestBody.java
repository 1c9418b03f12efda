package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Collects the body of a caller's request. */
final class RequestBody {
  private final ByteBuf bytes = Unpooled.buffer(0);
  private final BufferLimit.Reservation reservation;

  /** What became of a part of the body. */
  enum Result {
    ADDED,
    /** The body is longer than requests may be. */
    TOO_LONG,
    /** The bodies of all requests together take too much memory. */
    NO_MEMORY
  }

  RequestBody(BufferLimit limit) {
    reservation = limit.reservation();
  }

  /** Adds a copy of the next part unless the body would become longer than allowed. */
  Result add(ByteBuf part, int maxBytes) {
    int size = bytes.readableBytes() + part.readableBytes();
    if (size > maxBytes) {
      return Result.TOO_LONG;
    } else if (!reservation.resize(size)) {
      return Result.NO_MEMORY;
    }
    bytes.writeBytes(part);
    return Result.ADDED;
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
