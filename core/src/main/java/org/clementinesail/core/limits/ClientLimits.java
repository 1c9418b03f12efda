package org.clementinesail.core.limits;

/**
 * What all clients of a process together may hold. A value that a machine does not state is not
 * limited.
 *
 * @param memoryBytes bytes of heads and bodies of requests, and of responses that are not read
 * @param connections connections to the port for callers, or to that of a control VM
 * @param relayConnections connections of other VMs to the port for relayed requests
 * @param minBodyBytesPerSecond rate that a body must have on average, 0 for none; see {@link
 *     #maxBodyNanos}
 */
public record ClientLimits(
    long memoryBytes, int connections, int relayConnections, int minBodyBytesPerSecond) {
  /** Default: none, as a slow client that keeps to the idle timeout is inside the limits. */
  public static final int DEFAULT_MIN_BODY_RATE = 0;

  /** Buffers double their capacity as they grow, and are copied for it. */
  private static final int HEAP_DIVISOR = 5;

  /** At 282 MB and a heap of 160 MB this is little more than the share of the heap. */
  private static final int MEMORY_DIVISOR = 8;

  /** Files of the program, listeners, event loops and connections of control VMs. */
  private static final int OWN_DESCRIPTORS = 64;

  /** Of the connections of clients, one in this many is for other VMs. */
  private static final int RELAY_DIVISOR = 4;

  /** Idle timeouts that a body may take besides the time by its rate. */
  private static final int BODY_IDLE_TIMEOUTS = 4;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long BYTES_PER_MB = 1_000_000;

  /**
   * Returns the limits of a machine.
   *
   * <p>Each request in progress has a connection to a client and at most one to a target or another
   * VM, so clients get half of the descriptors that the process does not need itself.
   *
   * @param heapBytes largest size of the heap
   * @param memoryMb memory of the machine in MB, or 0 if it is not known
   * @param maxFds descriptors that the process may open, or 0 if that is not known
   */
  public static ClientLimits ofMachine(long heapBytes, int memoryMb, int maxFds) {
    long heapShare = heapBytes / HEAP_DIVISOR;
    long memoryShare = memoryMb <= 0 ? heapShare : memoryMb * BYTES_PER_MB / MEMORY_DIVISOR;
    int clients = maxFds <= 0 ? Integer.MAX_VALUE : Math.max(2, (maxFds - OWN_DESCRIPTORS) / 2);
    int relay = maxFds <= 0 ? Integer.MAX_VALUE : Math.max(1, clients / RELAY_DIVISOR);
    int callers = maxFds <= 0 ? Integer.MAX_VALUE : clients - relay;
    return new ClientLimits(
        Math.min(heapShare, memoryShare), callers, relay, DEFAULT_MIN_BODY_RATE);
  }

  /**
   * Returns these limits with other values where a setting states one.
   *
   * @param memoryMb setting of the memory in MB, or 0 for none
   * @param connections setting of the connections, or 0 for none
   * @param minBodyRate setting of the lowest rate of bodies, or below 0 for none
   */
  public ClientLimits withSettings(int memoryMb, int connections, int minBodyRate) {
    return new ClientLimits(
        memoryMb > 0 ? memoryMb * BYTES_PER_MB : memoryBytes,
        connections > 0 ? connections : this.connections,
        relayConnections,
        minBodyRate >= 0 ? minBodyRate : minBodyBytesPerSecond);
  }

  /**
   * Returns the longest time from the head of a request to its last byte, in nanoseconds.
   *
   * @param receivedBytes bytes of the body so far
   * @param idleTimeoutMillis longest time without a byte, in milliseconds
   */
  public long maxBodyNanos(int receivedBytes, long idleTimeoutMillis) {
    return minBodyBytesPerSecond == 0
        ? Long.MAX_VALUE
        : BODY_IDLE_TIMEOUTS * idleTimeoutMillis * NANOS_PER_MILLI
            + receivedBytes * NANOS_PER_SECOND / minBodyBytesPerSecond;
  }
}
