package org.clementinesail.it;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Ports below the range that the system uses for outgoing connections, which no other block gives
 * out, on this JVM or another, until this one is closed or the JVM ends.
 */
final class PortBlock implements AutoCloseable {
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;

  /** Ports of a block: some times as many as the largest test has open. */
  private static final int SIZE = 500;

  /** Listens on the first port of the block, which keeps others from taking it. */
  private final ServerSocket claim;

  private final int first;
  private final int last;
  private int next;

  private PortBlock(ServerSocket claim) {
    this.claim = claim;
    this.first = claim.getLocalPort() + 1;
    this.last = claim.getLocalPort() + SIZE - 1;
    this.next = first;
  }

  /**
   * Takes the first block that is not taken.
   *
   * @throws IOException if there is none
   */
  static PortBlock take() throws IOException {
    for (int port = FIRST_PORT; port + SIZE <= LAST_PORT; port += SIZE) {
      try {
        return new PortBlock(listen(port));
      } catch (BindException e) {
        // Another JVM has taken this block.
      }
    }
    throw new IOException("no free block of ports from " + FIRST_PORT + " to " + LAST_PORT);
  }

  /**
   * Returns the next free port; starts again at the end of the block.
   *
   * @throws IOException if all are in use
   */
  synchronized int nextFree() throws IOException {
    for (int tried = 0; tried < SIZE; tried++) {
      int port = next;
      next = port < last ? port + 1 : first;
      try (ServerSocket socket = listen(port)) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another process uses this port.
      }
    }
    throw new IOException("no free port from " + first + " to " + last);
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
  }

  /** Lets others take the block. */
  @Override
  public void close() throws IOException {
    claim.close();
  }
}
