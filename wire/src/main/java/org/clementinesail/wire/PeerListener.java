package org.clementinesail.wire;

import java.net.InetSocketAddress;
import org.clementinesail.wire.proto.Frame;
import org.tinylog.Logger;

/** Receives frames from other VMs, on a network thread; must not block. */
@FunctionalInterface
public interface PeerListener {

  /**
   * Takes a frame.
   *
   * @param vm name of the VM that sent it
   * @param frame the frame
   */
  void received(String vm, Frame frame);

  /**
   * Notes that a connection to a VM has been opened, or opened again.
   *
   * @param vm name of the VM
   */
  default void connected(String vm) {}

  /**
   * Notes a VM that was not named before and has made itself known.
   *
   * @param vm name of the VM
   * @param address where it is reached
   */
  default void joined(String vm, InetSocketAddress address) {
    Logger.info("VM {} at {} has joined", vm, address);
  }
}
