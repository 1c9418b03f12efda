package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.server.logging.DecisionLog;

/**
 * Objects shared by all exchanges of a server.
 *
 * @param loop event loop that all work is done on
 * @param dialect header names of callers and targets
 * @param routing desired state, fleet and load
 * @param targetPool connections to targets
 * @param faults detects targets that stall or lose responses
 * @param crashes finds parts of requests that crash engines
 * @param rateLimits exchanges the limits that targets name with other VMs
 * @param peers other VMs, which serve requests while this VM reaches no target
 * @param relayed whether the requests come from other VMs, which this VM serves them for
 * @param buffers limits the memory of incomplete bodies and events
 * @param startupWait how long requests wait for the first desired state
 * @param metrics receives the counters and latencies of requests
 * @param log receives refusals, failures and retries
 */
record ProxyContext(
    EventLoop loop,
    Dialect dialect,
    RoutingState routing,
    TargetPool targetPool,
    FaultDetector faults,
    CrashReports crashes,
    RateLimitReports rateLimits,
    PeerRelay peers,
    boolean relayed,
    BufferLimit buffers,
    StartupWait startupWait,
    ProxyMetrics metrics,
    DecisionLog log) {

  /**
   * Returns the longest idle time of a connection, in milliseconds. That of callers changes with
   * the desired state; a VM uses its connections to others again for a fixed time.
   */
  long idleTimeoutMillis() {
    return relayed
        ? RequestLimits.DEFAULT.idleTimeoutMillis()
        : requestLimits().idleTimeoutMillis();
  }

  /** Returns the limits of requests that are in force. */
  RequestLimits requestLimits() {
    return routing.desiredState().map(DesiredState::limits).orElse(RequestLimits.DEFAULT);
  }

  /** Returns the same objects for requests that other VMs send. */
  ProxyContext forRelayedRequests() {
    return new ProxyContext(
        loop,
        dialect,
        routing,
        targetPool,
        faults,
        crashes,
        rateLimits,
        peers,
        true,
        buffers,
        startupWait,
        metrics,
        log);
  }
}
