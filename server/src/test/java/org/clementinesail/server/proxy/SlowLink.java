package org.clementinesail.server.proxy;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A link to a port on loopback that delivers bytes, and the end of a connection, 40 ms late. */
final class SlowLink implements AutoCloseable {
  private static final Duration DELAY = Duration.ofMillis(40);
  private static final int BUFFER_BYTES = 8_192;

  private final ServerSocket listening;
  private final int port;
  private final List<Socket> open = new CopyOnWriteArrayList<>();

  SlowLink(int port) throws IOException {
    this.port = port;
    this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "slow-link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listening.accept();
        Socket far = new Socket(InetAddress.getLoopbackAddress(), port);
        open.add(near);
        open.add(far);
        daemon(() -> copy(near, far));
        daemon(() -> copy(far, near));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (from;
        to) {
      for (int n = from.getInputStream().read(buffer); n > 0; ) {
        Uninterruptibles.sleepUninterruptibly(DELAY);
        to.getOutputStream().write(buffer, 0, n);
        n = from.getInputStream().read(buffer);
      }
      Uninterruptibles.sleepUninterruptibly(DELAY);
    } catch (IOException e) {
      // One side has closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
