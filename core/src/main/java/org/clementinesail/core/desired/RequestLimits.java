package org.clementinesail.core.desired;

/**
 * Sizes and timeouts of requests.
 *
 * @param maxHeaderBytes largest header section of a request in bytes
 * @param maxBodyBytes largest body of a request in bytes
 * @param headerTimeoutMillis longest time from the first to the last byte of the header section
 * @param idleTimeoutMillis longest time that a connection may be idle
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits until a desired state is known, as usual for HTTP servers: 16 KiB, 4 MiB, 3 s, 15 s. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
