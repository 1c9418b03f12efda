package org.clementinesail.it;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds free ports below the range that the system uses for outgoing connections. */
final class FreePorts {
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;

  private static int nextPort = FIRST_PORT;

  private FreePorts() {}

  /** Returns the next free port from 20,001 to 32,000; starts again at 20,000 after that. */
  static synchronized int next() throws IOException {
    while (true) {
      nextPort = nextPort < LAST_PORT ? nextPort + 1 : FIRST_PORT;
      try (ServerSocket socket = new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another process uses this port.
      }
    }
  }
}
