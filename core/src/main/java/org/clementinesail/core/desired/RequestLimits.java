package org.clementinesail.core.desired;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes longest head of a request
 * @param maxBodyBytes longest body of a request
 * @param headerTimeoutMillis longest time from the first byte of a head to its last
 * @param idleTimeoutMillis how long a connection may stay idle
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits before any desired state is known; the usual ones of HTTP servers. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
