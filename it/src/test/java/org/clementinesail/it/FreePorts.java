package org.clementinesail.it;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Hands out ports that outgoing connections do not take. */
final class FreePorts {
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;

  private static int nextPort = FIRST_PORT;

  private FreePorts() {}

  /** Returns a port below the range that the system gives to outgoing connections. */
  static synchronized int next() throws IOException {
    while (true) {
      nextPort = nextPort < LAST_PORT ? nextPort + 1 : FIRST_PORT;
      try (ServerSocket socket = new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another process has it.
      }
    }
  }
}
