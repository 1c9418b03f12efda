package org.clementinesail.wire;

import org.clementinesail.wire.proto.Frame;

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
}
