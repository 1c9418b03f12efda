package org.clementinesail.server.proxy;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.function.Consumer;

/** Lets servers that are told their port listen on one that nothing else uses. */
final class UnusedPort {
  private static final int MAX_ATTEMPTS = 10;

  private UnusedPort() {}

  /**
   * Lets a server listen, on another port if something else has taken the first one meanwhile.
   *
   * @param listen makes the server listen on an address
   * @return the port
   */
  static int listen(Consumer<InetSocketAddress> listen) throws IOException {
    for (int attempt = 1; ; attempt++) {
      int port = find();
      try {
        listen.accept(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return port;
      } catch (Exception e) {
        // Netty throws it although it is checked.
        if (!(e instanceof BindException) || attempt == MAX_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  /** Returns a port that was unused just now. */
  static int find() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
