package org.clementinesail.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Forwards TCP bytes to a process, and can drop them while connections stay open. */
final class Relay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;
  private static final int WATCH_INTERVAL_MS = 100;

  private final int port;
  private final int targetPort;
  private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
  private volatile ServerSocket socket;
  private volatile boolean allStalled;
  private volatile boolean closed;

  Relay(int port, int targetPort) throws IOException {
    this.port = port;
    this.targetPort = targetPort;
    this.socket = listen();
    startDaemonThread(this::accept);
    startDaemonThread(this::watchTarget);
  }

  private ServerSocket listen() throws IOException {
    return new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
  }

  /** Listens only while the target listens, so that connections to a dead process are refused. */
  private void watchTarget() {
    while (!closed) {
      try {
        TimeUnit.MILLISECONDS.sleep(WATCH_INTERVAL_MS);
        boolean alive = targetListens();
        if (!alive && !allStalled) {
          socket.close();
        } else if (socket.isClosed() && !closed) {
          socket = listen();
          startDaemonThread(this::accept);
        }
      } catch (IOException e) {
        // Try again after the interval.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean targetListens() {
    try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
      return probe.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  /** Drops all bytes of open and new connections until {@link #resume}. */
  void stallAll() {
    allStalled = true;
  }

  /** Forwards bytes again, except on connections stalled by {@link #stallOpenConnections}. */
  void resume() {
    allStalled = false;
  }

  /** Drops all bytes of the connections that are open now; new connections work. */
  void stallOpenConnections() {
    pipes.forEach(pipe -> pipe.stalled = true);
  }

  private void accept() {
    ServerSocket listening = socket;
    while (!listening.isClosed()) {
      try {
        connect(listening.accept());
      } catch (IOException e) {
        // The relay is closed, or has stopped listening.
      }
    }
  }

  private void connect(Socket from) throws IOException {
    try {
      Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
      pipes.add(new Pipe(from, to));
      pipes.add(new Pipe(to, from));
    } catch (IOException e) {
      from.close();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    socket.close();
  }

  private static void startDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private final class Pipe {
    private final Socket from;
    private final Socket to;
    private volatile boolean stalled;

    Pipe(Socket from, Socket to) {
      this.from = from;
      this.to = to;
      startDaemonThread(this::run);
    }

    private void run() {
      byte[] buffer = new byte[BUFFER_BYTES];
      try (from;
          to) {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        int count = in.read(buffer);
        while (count >= 0) {
          if (!allStalled && !stalled) {
            out.write(buffer, 0, count);
          }
          count = in.read(buffer);
        }
      } catch (IOException e) {
        // Either side has closed its socket.
      }
    }
  }
}
