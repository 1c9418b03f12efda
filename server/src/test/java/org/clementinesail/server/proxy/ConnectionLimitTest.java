package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.PrintStream;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.Test;

/** Tests which connection is closed when there are too many. */
public final class ConnectionLimitTest {
  private final ProxyMetrics metrics = new ProxyMetrics();
  private final DecisionLog log =
      new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream()));

  /** Idle connections without a request make room; those with a request are kept. */
  @Test
  public void idleConnectionsLockOutNewOnes() {
    boolean[] closesIdle = new boolean[1];
    LimitReports reports = new LimitReports(metrics, log);
    ConnectionLimit limit = new ConnectionLimit("c", 2, reports, () -> closesIdle[0], () -> 0);
    EmbeddedChannel used = new EmbeddedChannel();
    EmbeddedChannel idle = new EmbeddedChannel();
    EmbeddedChannel next = new EmbeddedChannel();
    assertTrue(limit.admit(used) && limit.admit(idle));
    ConnectionLimit.requestReceived(used);
    assertTrue(limit.admit(next));
    assertTrue(used.isOpen() && !idle.isOpen() && next.isOpen());
    ConnectionLimit.requestReceived(next);
    assertFalse(limit.admit(new EmbeddedChannel()), "all connections have had a request");
    next.close();
    EmbeddedChannel last = new EmbeddedChannel();
    assertTrue(limit.admit(last), "a closed connection still counts");
    closesIdle[0] = true;
    ConnectionLimit.requestReceived(last);
    assertTrue(limit.admit(new EmbeddedChannel()), "idle connections are being closed");
    assertEquals(metrics.text(), "client_limit_total{kind=\"c\"} 3\n");
  }

  /** A burst of new connections does not close those of it that have had no time for a request. */
  @Test
  public void newConnectionsCloseEachOther() {
    long[] requestNanos = {Long.MAX_VALUE};
    LimitReports reports = new LimitReports(metrics, log);
    ConnectionLimit limit =
        new ConnectionLimit("n", 2, reports, () -> false, () -> requestNanos[0]);
    EmbeddedChannel used = new EmbeddedChannel();
    EmbeddedChannel first = new EmbeddedChannel();
    EmbeddedChannel second = new EmbeddedChannel();
    assertTrue(limit.admit(used));
    ConnectionLimit.requestReceived(used);
    assertTrue(limit.admit(first));
    assertFalse(limit.admit(second), "the first one may still send its request");
    assertTrue(used.isOpen() && first.isOpen() && !second.isOpen());
    requestNanos[0] = 0;
    assertTrue(limit.admit(new EmbeddedChannel()));
    assertFalse(first.isOpen(), "no request has come in time");
  }

  /** Kept connections without a call in progress do not lock out new ones. */
  @Test
  public void keptConnectionsLockOutNewOnes() {
    LimitReports reports = new LimitReports(metrics, log);
    ConnectionLimit limit = new ConnectionLimit("k", 2, reports, () -> false, () -> Long.MAX_VALUE);
    EmbeddedChannel busy = new EmbeddedChannel();
    EmbeddedChannel kept = new EmbeddedChannel();
    assertTrue(limit.admit(busy) && limit.admit(kept));
    ConnectionLimit.requestReceived(kept);
    ConnectionLimit.callsEnded(kept);
    ConnectionLimit.requestReceived(busy);
    ConnectionLimit.callsEnded(busy);
    ConnectionLimit.requestReceived(busy);
    assertTrue(limit.admit(new EmbeddedChannel()));
    assertTrue(busy.isOpen() && !kept.isOpen());
    assertFalse(limit.admit(new EmbeddedChannel()), "a call is in progress or may still come");
  }

  /** Idle connections make room for each of two new ones at once. */
  @Test
  public void onlyOneNewConnectionMakesIdleOnesClose() {
    LimitReports reports = new LimitReports(metrics, log);
    ConnectionLimit limit = new ConnectionLimit("i", 1, reports, () -> true, () -> 0);
    EmbeddedChannel used = new EmbeddedChannel();
    EmbeddedChannel first = new EmbeddedChannel();
    EmbeddedChannel second = new EmbeddedChannel();
    assertTrue(limit.admit(used));
    ConnectionLimit.requestReceived(used);
    assertTrue(limit.admit(first) && limit.admit(second));
    assertTrue(first.isOpen() && second.isOpen());
  }
}
