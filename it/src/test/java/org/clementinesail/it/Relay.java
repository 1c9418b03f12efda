package org.clementinesail.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes bytes between two processes, and can go silent without closing anything. */
final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;

  private final ServerSocket socket;
  private final int targetPort;
  private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
  private volatile boolean cut;

  Relay(int port, int targetPort) throws IOException {
    this.socket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    this.targetPort = targetPort;
    daemon(this::accept);
  }

  /** Drops all bytes from now on, on old and new connections. */
  void cut() {
    cut = true;
  }

  void heal() {
    cut = false;
  }

  /** Drops all bytes of the connections that are open now; new ones work. */
  void silenceOpenConnections() {
    pipes.forEach(pipe -> pipe.silent = true);
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket from = socket.accept();
        Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        pipes.add(new Pipe(from, to));
        pipes.add(new Pipe(to, from));
      } catch (IOException e) {
        // The target is down, or the relay is closed; the connection breaks either way.
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private final class Pipe {
    private final Socket from;
    private final Socket to;
    private volatile boolean silent;

    Pipe(Socket from, Socket to) {
      this.from = from;
      this.to = to;
      daemon(this::run);
    }

    private void run() {
      byte[] buffer = new byte[BUFFER_BYTES];
      try (from;
          to) {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        int count = in.read(buffer);
        while (count >= 0) {
          if (!cut && !silent) {
            out.write(buffer, 0, count);
          }
          count = in.read(buffer);
        }
      } catch (IOException e) {
        // Either side has closed.
      }
    }
  }
}
