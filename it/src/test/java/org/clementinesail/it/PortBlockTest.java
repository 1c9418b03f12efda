package org.clementinesail.it;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests that test runs on one machine do not get the same ports. */
public final class PortBlockTest {
  private static final int PORTS = 100;

  /** Two runs get different ports even if neither listens on its own yet. */
  @Test
  public void portsAreNotGivenToTwoRuns() throws Exception {
    try (PortBlock first = PortBlock.take();
        PortBlock second = PortBlock.take()) {
      Set<Integer> ports = new HashSet<>();
      for (int i = 0; i < PORTS; i++) {
        assertTrue(ports.add(first.nextFree()));
        assertTrue(ports.add(second.nextFree()));
      }
    }
  }

  /** A port that something listens on is passed over, also after the end of the block. */
  @Test
  public void portInUseIsPassedOver() throws Exception {
    try (PortBlock block = PortBlock.take()) {
      int used = block.nextFree();
      InetAddress address = InetAddress.getLoopbackAddress();
      try (ServerSocket listening = new ServerSocket(used, 1, address)) {
        for (int i = 0; i < 1_000; i++) {
          assertFalse(block.nextFree() == listening.getLocalPort());
        }
      }
    }
  }
}
