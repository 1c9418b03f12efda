package org.clementinesail.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the limits that follow from a machine. */
public final class ClientLimitsValuesTest {
  private static final long HEAP_BYTES = 160L * 1_024 * 1_024;
  private static final int MEMORY_MB = 282;
  private static final int MAX_FDS = 2_069;
  private static final int LARGEST_BODY = 4_194_304;

  private final ClientLimits limits = ClientLimits.ofMachine(HEAP_BYTES, MEMORY_MB, MAX_FDS);

  /** Guards against clients that take the descriptors which targets and control VMs need. */
  @Test
  public void connectionsLeaveNoRoomForTargets() {
    int clients = limits.connections() + limits.relayConnections();
    assertTrue(2 * clients < MAX_FDS, "connections of clients: " + clients);
    assertTrue(limits.relayConnections() > 0);
  }

  /** Guards against a default that refuses a legal body, or a slow one, without overload. */
  @Test
  public void clientInsideTheLimitsMeetsADefault() {
    assertTrue(limits.memoryBytes() > LARGEST_BODY, "bytes: " + limits.memoryBytes());
    assertEquals(limits.maxBodyNanos(1, 15_000), Long.MAX_VALUE, "a slow body is refused");
  }

  /** Guards against settings that are read and not used. */
  @Test
  public void settingIsIgnored() {
    ClientLimits set = limits.withSettings(7, 11, 1_024);
    assertEquals(set.memoryBytes(), 7_000_000);
    assertEquals(set.connections(), 11);
    assertEquals(set.maxBodyNanos(1_024, 1_000), 5_000_000_000L);
    assertEquals(limits.withSettings(0, 0, -1), limits);
  }
}
