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

/** Connections between VMs. */
public final class PeerNetworkTest {
  private static final SharedSecret SECRET = new SharedSecret("secret-of-the-tests");
  private static final Frame HINT =
      Frame.newBuilder().setRulesHint(RulesHint.newBuilder().setNumber(1)).build();

  private final AtomicInteger received = new AtomicInteger();
  private InetSocketAddress first = new InetSocketAddress(0);
  private InetSocketAddress second = new InetSocketAddress(0);

  /** Finds two addresses. */
  @BeforeMethod
  public void findAddresses() throws Exception {
    received.set(0);
    try (ServerSocket a = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ServerSocket b = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      first = new InetSocketAddress(a.getInetAddress(), a.getLocalPort());
      second = new InetSocketAddress(b.getInetAddress(), b.getLocalPort());
    }
  }

  /** Nothing is left behind; each test closes its networks. */
  @AfterMethod
  public void forget() {
    received.set(0);
  }

  private PeerNetwork network(String self, String other, SharedSecret secret) {
    InetSocketAddress own = self.equals("vm-1") ? first : second;
    InetSocketAddress peer = self.equals("vm-1") ? second : first;
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

  /** Regression: a connection that is only written to must not be taken for a silent one. */
  @Test
  public void steadySendingKeepsTheConnection() throws Exception {
    try (PeerNetwork sender = network("vm-1", "vm-2", SECRET);
        PeerNetwork receiver = network("vm-2", "vm-1", SECRET)) {
      await(() -> sender.reachability("vm-2") == PeerReachability.CONNECTED);
      long handshake = receiver.traffic().receivedBytes(Frame.KindCase.AUTH_ANSWER);
      for (int i = 0; i < 60; i++) {
        assertTrue(sender.send("vm-2", HINT), "frame " + i + " found no connection");
        TimeUnit.MILLISECONDS.sleep(100);
      }
      await(() -> received.get() == 60);
      assertEquals(receiver.traffic().receivedBytes(Frame.KindCase.AUTH_ANSWER), handshake);
    }
  }

  /** A VM that does not hold the secret is neither heard nor spoken to. */
  @Test
  public void otherSecretIsRefused() throws Exception {
    try (PeerNetwork stranger = network("vm-1", "vm-2", new SharedSecret("another-secret-here"));
        PeerNetwork receiver = network("vm-2", "vm-1", SECRET)) {
      TimeUnit.MILLISECONDS.sleep(1_000);
      assertFalse(stranger.send("vm-2", HINT));
      assertFalse(receiver.send("vm-1", HINT));
      assertEquals(received.get(), 0);
    }
  }

  /** A VM whose process is gone refuses; it is connected to again when it is back. */
  @Test
  public void goneProcessIsToldFromSilence() throws Exception {
    try (PeerNetwork sender = network("vm-1", "vm-2", SECRET)) {
      await(() -> sender.reachability("vm-2") == PeerReachability.REFUSED);
      try (PeerNetwork receiver = network("vm-2", "vm-1", SECRET)) {
        await(() -> sender.reachability("vm-2") == PeerReachability.CONNECTED);
        assertTrue(sender.send("vm-2", HINT));
        await(() -> received.get() == 1);
        assertEquals(receiver.reachability("vm-1"), PeerReachability.CONNECTED);
      }
      await(() -> sender.reachability("vm-2") == PeerReachability.REFUSED);
    }
  }

  /** A VM that accepts connections and says nothing is silent, not refusing. */
  @Test
  public void frozenProcessIsSilent() throws Exception {
    try (ServerSocket frozen =
            new ServerSocket(second.getPort(), 10, InetAddress.getLoopbackAddress());
        PeerNetwork sender = network("vm-1", "vm-2", SECRET)) {
      TimeUnit.MILLISECONDS.sleep(1_000);
      assertEquals(sender.reachability("vm-2"), PeerReachability.UNRESPONSIVE);
      assertFalse(sender.send("vm-2", HINT));
      assertTrue(frozen.isBound());
    }
  }
}
