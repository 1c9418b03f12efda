package org.clementinesail.server.proxy;

import java.util.LinkedHashSet;
import java.util.Set;
import org.clementinesail.core.limits.ClientLimits;
import org.jspecify.annotations.Nullable;

/**
 * Limits the memory in which all requests of a VM together keep heads, bodies and events that are
 * not complete yet and responses that are not read, so that callers or targets that send without
 * end cannot exhaust the heap. Confined to the event loop.
 *
 * <p>A large buffer that does not fit is refused. A small one may also use a reserve; if that is
 * used up too, the largest holder that can be ended makes room, and of equal ones the newest.
 *
 * <pre>{@code
 * BufferLimit.Reservation reservation = limit.reservation();
 * if (!reservation.resize(buffer.readableBytes() + next.readableBytes())) { ... }
 * }</pre>
 */
public final class BufferLimit {
  /** Size up to which a buffer may use the reserve; the largest head of most sites. */
  private static final int SMALL_BYTES = 16_384;

  /** The reserve is one in this many of the limit. */
  private static final int RESERVE_DIVISOR = 4;

  private static final int MIN_RESERVE_BYTES = 16 * SMALL_BYTES;

  private final long maxBytes;
  private final long reserveBytes;
  private final Set<Reservation> evictable = new LinkedHashSet<>();
  private final Refusals refusals;
  private long reservedBytes;

  /** Receives what does not fit. */
  @FunctionalInterface
  public interface Refusals {
    /**
     * Records a refused or ended holder.
     *
     * @param reservedBytes bytes of all reservations
     * @param maxBytes the limit in bytes
     */
    void record(long reservedBytes, long maxBytes);
  }

  /** Something that holds memory and can be ended to free it. */
  public interface Holder {
    /** Returns whether it may be ended now: no request of it may run then. */
    boolean mayBeEnded();

    /** Ends it, and releases its reservation before it returns. */
    void end();
  }

  /**
   * Creates an instance without reservations that records no refusals.
   *
   * @param maxBytes maximum number of bytes of all reservations together, without the reserve for
   *     small ones
   */
  BufferLimit(long maxBytes) {
    this(maxBytes, (reserved, max) -> {});
  }

  /** Creates an instance for a share of this process's heap. */
  BufferLimit() {
    this(ClientLimits.ofMachine(Runtime.getRuntime().maxMemory(), 0, 0).memoryBytes());
  }

  /**
   * Creates an instance without reservations.
   *
   * @param maxBytes maximum number of bytes of all reservations together, without the reserve for
   *     small ones
   * @param refusals receives what does not fit
   */
  public BufferLimit(long maxBytes, Refusals refusals) {
    this.maxBytes = maxBytes;
    this.refusals = refusals;
    this.reserveBytes = Math.max(MIN_RESERVE_BYTES, maxBytes / RESERVE_DIVISOR);
  }

  /** Returns a reservation of 0 bytes that is kept until it is released. */
  public Reservation reservation() {
    return new Reservation(null);
  }

  /**
   * Returns a reservation of 0 bytes whose holder may be ended to make room for small ones.
   *
   * @param holder holder of the bytes
   */
  public Reservation reservation(Holder holder) {
    return new Reservation(holder);
  }

  /** Returns the bytes of all reservations. */
  long reservedBytes() {
    return reservedBytes;
  }

  private boolean endLargest(Reservation except) {
    Reservation largest = null;
    for (Reservation next : evictable) {
      boolean larger = largest == null || next.bytes >= largest.bytes;
      if (next != except && larger && next.mayBeEnded()) {
        largest = next;
      }
    }
    if (largest == null) {
      return false;
    }
    long before = reservedBytes;
    largest.endHolder();
    return reservedBytes < before;
  }

  /** Bytes that are reserved for one buffer. */
  public final class Reservation {
    private final @Nullable Holder holder;
    private int bytes;

    private Reservation(@Nullable Holder holder) {
      this.holder = holder;
    }

    private boolean mayBeEnded() {
      return holder != null && holder.mayBeEnded();
    }

    private void endHolder() {
      if (holder != null) {
        holder.end();
      }
    }

    /**
     * Changes the reservation to the size of the buffer.
     *
     * @param size size of the buffer in bytes
     * @return false if the limit does not allow it; the reservation is unchanged then
     */
    public boolean resize(int size) {
      if (size > bytes && !hasRoom(size)) {
        return false;
      }
      set(size);
      return true;
    }

    /**
     * Changes the reservation to the size of something that is held already. It is never refused,
     * as it cannot be undone; other holders are ended while the limit and reserve are exceeded.
     *
     * @param size size in bytes
     */
    void hold(int size) {
      boolean grows = size > bytes;
      set(size);
      long allowed = maxBytes + reserveBytes;
      if (grows && reservedBytes > allowed) {
        refusals.record(reservedBytes, allowed);
        while (reservedBytes > allowed && endLargest(this)) {
          // Each pass ends one holder.
        }
      }
    }

    private void set(int size) {
      reservedBytes += size - bytes;
      bytes = size;
      if (holder != null && size > 0) {
        evictable.add(this);
      } else {
        evictable.remove(this);
      }
    }

    private boolean hasRoom(int size) {
      boolean small = size <= SMALL_BYTES;
      long allowed = small ? maxBytes + reserveBytes : maxBytes;
      while (reservedBytes - bytes + size > allowed) {
        refusals.record(reservedBytes, allowed);
        if (!small || !endLargest(this)) {
          return false;
        }
      }
      return true;
    }

    /** Gives the reserved bytes back; may be called more than once. */
    public void release() {
      resize(0);
    }
  }
}
