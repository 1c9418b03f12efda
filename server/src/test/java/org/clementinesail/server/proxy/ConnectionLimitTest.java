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
    ConnectionLimit limit = new ConnectionLimit("c", 2, new LimitReports(metrics, log));
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
    assertTrue(limit.admit(new EmbeddedChannel()), "a closed connection still counts");
    assertEquals(metrics.text(), "client_limit_total{kind=\"c\"} 2\n");
  }
}
