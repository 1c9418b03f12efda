package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.server.logging.DecisionLog;

/**
 * What exchanges work with.
 *
 * @param loop the event loop that everything happens on
 * @param dialect names of callers and targets
 * @param routing what to route by
 * @param targetPool connections to targets
 * @param faults finds targets that hold requests up
 * @param startupWait how long requests wait for the first desired state
 * @param metrics counters and histograms
 * @param log lines for decisions
 */
record ProxyContext(
    EventLoop loop,
    Dialect dialect,
    RoutingState routing,
    TargetPool targetPool,
    FaultDetector faults,
    StartupWait startupWait,
    ProxyMetrics metrics,
    DecisionLog log) {}
