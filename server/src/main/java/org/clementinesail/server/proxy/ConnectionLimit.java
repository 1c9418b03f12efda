package org.clementinesail.server.proxy;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Limits the connections to one port, so that those to targets, other VMs and control VMs find
 * descriptors. When it is reached, the oldest connection on which no request has arrived is closed.
 * Without one, the new connection is closed unless idle ones are about to be. Confined to the event
 * loop.
 *
 * <pre>{@code
 * if (limit.admit(channel)) { ... }
 * ConnectionLimit.requestReceived(channel);
 * }</pre>
 */
public final class ConnectionLimit {
  private static final AttributeKey<ConnectionLimit> LIMIT =
      AttributeKey.valueOf(ConnectionLimit.class, "limit");

  private final String kind;
  private final int maxConnections;
  private final LimitReports reports;
  private final BooleanSupplier closeIdle;
  private final Set<Channel> withoutRequest = new LinkedHashSet<>();
  private int open;

  /**
   * Creates a limit for one port.
   *
   * @param kind name of the limit in metrics and log
   * @param maxConnections maximum number of open connections
   * @param reports receives the connections that are closed for the limit
   * @param closeIdle begins to close idle connections that have had a request; returns whether a
   *     new one may be accepted meanwhile
   */
  public ConnectionLimit(
      String kind, int maxConnections, LimitReports reports, BooleanSupplier closeIdle) {
    this.closeIdle = closeIdle;
    this.kind = kind;
    this.maxConnections = maxConnections;
    this.reports = reports;
  }

  /**
   * Counts a new connection until it is closed.
   *
   * @return false if the connection was closed as there are too many
   */
  public boolean admit(Channel channel) {
    open++;
    withoutRequest.add(channel);
    channel.attr(LIMIT).set(this);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              open--;
              withoutRequest.remove(channel);
            });
    if (open <= maxConnections) {
      return true;
    }
    reports.record(kind, open, maxConnections);
    if (withoutRequest.size() == 1 && closeIdle.getAsBoolean()) {
      return true;
    }
    Iterator<Channel> oldest = withoutRequest.iterator();
    Channel closed = oldest.next();
    oldest.remove();
    closed.close();
    return closed != channel;
  }

  /** Records that a complete request has arrived on a connection. */
  public static void requestReceived(Channel channel) {
    ConnectionLimit limit = channel.attr(LIMIT).get();
    if (limit != null) {
      limit.withoutRequest.remove(channel);
    }
  }
}
