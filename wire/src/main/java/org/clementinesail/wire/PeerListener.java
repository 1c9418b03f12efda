package org.clementinesail.wire;

import java.net.InetSocketAddress;
import org.clementinesail.wire.proto.Frame;
import org.tinylog.Logger;

/** Receives frames and connection events of other VMs on a network thread; must not block. */
@FunctionalInterface
public interface PeerListener {

  /**
   * Called for each frame after the handshake, except pings.
   *
   * @param vm name of the authenticated sender
   * @param frame the frame, of any kind
   */
  void received(String vm, Frame frame);

  /**
   * Called when an outbound connection is authenticated, also after a reconnect.
   *
   * @param vm name of the VM connected to
   */
  default void connected(String vm) {}

  /**
   * Called when a VM that was not known before is added to the network.
   *
   * @param vm name of the VM
   * @param address IP address and port at which it accepts connections
   */
  default void joined(String vm, InetSocketAddress address) {
    Logger.info("VM {} at {} has joined", vm, address);
  }
}
