package org.clementinesail.server.proxy;

/**
 * Limits the memory in which all requests of a VM together keep bodies and events that are not
 * complete yet, so that callers or targets that send without end cannot exhaust the heap. Confined
 * to the event loop.
 *
 * <pre>{@code
 * BufferLimit.Reservation reservation = limit.reservation();
 * if (!reservation.resize(buffer.readableBytes() + next.readableBytes())) { ... }
 * }</pre>
 */
final class BufferLimit {
  /** Size up to which a buffer does not count, so that small messages always pass. */
  private static final int UNCOUNTED_BYTES = 16_384;

  /** Buffers double their capacity as they grow, and are copied for it. */
  private static final int HEAP_DIVISOR = 5;

  private final long maxBytes;
  private long reservedBytes;

  /** Creates an instance for a share of this process's heap. */
  BufferLimit() {
    this(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
  }

  /**
   * Creates an instance without reservations.
   *
   * @param maxBytes maximum number of bytes of all reservations together
   */
  BufferLimit(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a reservation of 0 bytes. */
  Reservation reservation() {
    return new Reservation();
  }

  /** Bytes that are reserved for one buffer. */
  final class Reservation {
    private int bytes;

    /**
     * Changes the reservation to the size of the buffer.
     *
     * @param size size of the buffer in bytes
     * @return false if the limit does not allow it; the reservation is unchanged then
     */
    boolean resize(int size) {
      int next = Math.max(0, size - UNCOUNTED_BYTES);
      long total = reservedBytes - bytes + next;
      if (next > bytes && total > maxBytes) {
        return false;
      }
      reservedBytes = total;
      bytes = next;
      return true;
    }

    /** Gives the reserved bytes back; may be called more than once. */
    void release() {
      reservedBytes -= bytes;
      bytes = 0;
    }
  }
}
