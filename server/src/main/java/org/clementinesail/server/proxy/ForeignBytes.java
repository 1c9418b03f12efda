package org.clementinesail.server.proxy;

import java.util.concurrent.TimeUnit;
import org.clementinesail.server.logging.DecisionLog;

/**
 * Bytes of a target that belong to no request of their connection.
 *
 * @param reason what shows it
 * @param count number of bytes received after those decoded
 * @param requestId id of the request in progress; empty without one
 * @param answeredBefore number of requests that the connection has answered
 * @param idleNanos how long the connection had been idle
 */
record ForeignBytes(
    String reason, int count, String requestId, int answeredBefore, long idleNanos) {

  void log(DecisionLog log, String address) {
    log.write(
        "foreign bytes from target",
        "address",
        address,
        "reason",
        reason,
        "bytes",
        count,
        "request",
        requestId,
        "answered_before",
        answeredBefore,
        "idle_ms",
        TimeUnit.NANOSECONDS.toMillis(idleNanos));
  }
}
