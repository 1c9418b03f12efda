package org.clementinesail.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.RulesHint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests connections between VMs: authentication, reachability and pings. */
public final class PeerNetworkTest {
  private static final SharedSecret SECRET = new SharedSecret("secret-of-the-tests");
  private static final Frame RULES_HINT =
      Frame.newBuilder().setRulesHint(RulesHint.newBuilder().setNumber(1)).build();

  private final AtomicInteger received = new AtomicInteger();
  private InetSocketAddress firstAddress = new InetSocketAddress(0);
  private InetSocketAddress secondAddress = new InetSocketAddress(0);

  /** Finds a free port for each of the two VMs. */
  @BeforeMethod
  public void findAddresses() throws Exception {
    received.set(0);
    try (ServerSocket a = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ServerSocket b = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      firstAddress = new InetSocketAddress(a.getInetAddress(), a.getLocalPort());
      secondAddress = new InetSocketAddress(b.getInetAddress(), b.getLocalPort());
    }
  }

  /** Resets the count of received frames; each test closes its own networks. */
  @AfterMethod
  public void resetReceived() {
    received.set(0);
  }

  private PeerNetwork network(String self, String other, SharedSecret secret) {
    InetSocketAddress own = self.equals("vm-1") ? firstAddress : secondAddress;
    InetSocketAddress peer = self.equals("vm-1") ? secondAddress : firstAddress;
    PeerNetwork network =
        new PeerNetwork(
            self, own, Map.of(other, peer), secret, (vm, frame) -> received.incrementAndGet());
    network.start();
    return network;
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean() && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertTrue(condition.getAsBoolean());
  }

  /**
   * Regression: a connection on which only one side sends must not be closed as unresponsive. Sends
   * for 6 seconds, longer than the read timeouts of both sides.
   */
  @Test
  public void oneWaySendingKeepsConnection() throws Exception {
    try (PeerNetwork sender = network("vm-1", "vm-2", SECRET);
        PeerNetwork receiver = network("vm-2", "vm-1", SECRET)) {
      await(() -> sender.reachability("vm-2") == PeerReachability.CONNECTED);
      long handshake = receiver.traffic().receivedBytes(Frame.KindCase.AUTH_ANSWER);
      for (int i = 0; i < 60; i++) {
        assertTrue(sender.send("vm-2", RULES_HINT), "frame " + i + " was not sent");
        TimeUnit.MILLISECONDS.sleep(100);
      }
      await(() -> received.get() == 60);
      assertEquals(receiver.traffic().receivedBytes(Frame.KindCase.AUTH_ANSWER), handshake);
    }
  }

  /** A VM with another secret can neither send nor receive frames. */
  @Test
  public void wrongSecretIsRefused() throws Exception {
    try (PeerNetwork wrongSecret =
            network("vm-1", "vm-2", new SharedSecret("another-secret-here"));
        PeerNetwork receiver = network("vm-2", "vm-1", SECRET)) {
      TimeUnit.MILLISECONDS.sleep(1_000);
      assertFalse(wrongSecret.send("vm-2", RULES_HINT));
      assertFalse(receiver.send("vm-1", RULES_HINT));
      assertEquals(received.get(), 0);
    }
  }

  /** A VM whose process is stopped refuses connections; it is reconnected once one runs. */
  @Test
  public void stoppedProcessIsReportedAsRefused() throws Exception {
    try (PeerNetwork sender = network("vm-1", "vm-2", SECRET)) {
      await(() -> sender.reachability("vm-2") == PeerReachability.REFUSED);
      try (PeerNetwork receiver = network("vm-2", "vm-1", SECRET)) {
        await(() -> sender.reachability("vm-2") == PeerReachability.CONNECTED);
        assertTrue(sender.send("vm-2", RULES_HINT));
        await(() -> received.get() == 1);
        assertEquals(receiver.reachability("vm-1"), PeerReachability.CONNECTED);
      }
      await(() -> sender.reachability("vm-2") == PeerReachability.REFUSED);
    }
  }

  /** A process that accepts connections and sends nothing is unresponsive, not refusing. */
  @Test
  public void frozenProcessIsUnresponsive() throws Exception {
    try (ServerSocket frozen =
            new ServerSocket(secondAddress.getPort(), 10, InetAddress.getLoopbackAddress());
        PeerNetwork sender = network("vm-1", "vm-2", SECRET)) {
      TimeUnit.MILLISECONDS.sleep(1_000);
      assertEquals(sender.reachability("vm-2"), PeerReachability.UNRESPONSIVE);
      assertFalse(sender.send("vm-2", RULES_HINT));
      assertTrue(frozen.isBound());
    }
  }
}
