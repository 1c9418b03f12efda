package org.clementinesail.server.proxy;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Limits the connections to one port, so that those to targets, other VMs and control VMs find
 * descriptors. When it is reached, idle connections are closed. If there are none, the oldest
 * connection on which no request has arrived in time is closed, and without one the new connection.
 * Confined to the event loop.
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
  private final LongSupplier requestNanos;

  /** Connections on which no request has arrived, oldest first, with the time of admission. */
  private final Map<Channel, Long> withoutRequest = new LinkedHashMap<>();

  /** Connections whose calls have all ended, in the order of the end of the last one. */
  private final Set<Channel> ended = new LinkedHashSet<>();

  private int open;

  /**
   * Creates a limit for one port.
   *
   * @param kind name of the limit in metrics and log
   * @param maxConnections maximum number of open connections
   * @param reports receives the connections that are closed for the limit
   * @param closeIdle begins to close idle connections that have had a request; returns whether a
   *     new one may be accepted meanwhile
   * @param requestNanos time in nanoseconds in which a new connection is not closed for another one
   */
  public ConnectionLimit(
      String kind,
      int maxConnections,
      LimitReports reports,
      BooleanSupplier closeIdle,
      LongSupplier requestNanos) {
    this.requestNanos = requestNanos;
    this.closeIdle = closeIdle;
    this.kind = kind;
    this.maxConnections = maxConnections;
    this.reports = reports;
  }

  /**
   * Counts a new connection until it is closed.
   *
   * @param channel the connection
   * @return false if the connection was closed as there are too many
   */
  public boolean admit(Channel channel) {
    open++;
    long now = System.nanoTime();
    withoutRequest.put(channel, now);
    channel.attr(LIMIT).set(this);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              open--;
              withoutRequest.remove(channel);
              ended.remove(channel);
            });
    if (open <= maxConnections) {
      return true;
    }
    reports.record(kind, open, maxConnections);
    if (closeIdle.getAsBoolean()) {
      return true;
    }
    Channel closed = leastUsed(channel, now);
    closed.close();
    return closed != channel;
  }

  /** Returns the connection to close; the new one if every other may still be needed. */
  private Channel leastUsed(Channel added, long now) {
    Map.Entry<Channel, Long> oldest = withoutRequest.entrySet().iterator().next();
    if (now - oldest.getValue() >= requestNanos.getAsLong()) {
      return oldest.getKey();
    }
    return ended.isEmpty() ? added : ended.iterator().next();
  }

  /**
   * Records that a complete request has arrived on a connection.
   *
   * @param channel the connection, or null if it is not known yet
   */
  public static void requestReceived(@Nullable Channel channel) {
    ConnectionLimit limit = channel == null ? null : channel.attr(LIMIT).get();
    if (limit != null) {
      limit.withoutRequest.remove(channel);
      limit.ended.remove(channel);
    }
  }

  /**
   * Records that no call is in progress on a connection any more. It may be closed for a new one,
   * so that clients that keep connections cannot lock out others.
   *
   * @param channel the connection
   */
  public static void callsEnded(Channel channel) {
    ConnectionLimit limit = channel.attr(LIMIT).get();
    if (limit != null && channel.isOpen()) {
      limit.ended.remove(channel);
      limit.ended.add(channel);
    }
  }
}
