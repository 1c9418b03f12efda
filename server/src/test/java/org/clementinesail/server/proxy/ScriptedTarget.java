package org.clementinesail.server.proxy;

import com.google.common.base.Splitter;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** A target on loopback that answers each request with the bytes that a function returns. */
final class ScriptedTarget implements AutoCloseable {
  /** Closes the connection after the bytes before this marker. */
  static final String CLOSE = "<close>";

  /** Resets the connection after the bytes before this marker. */
  static final String RESET = "<reset>";

  /** Keeps the connection open and sends nothing. */
  static final String HANG = "<hang>";

  /** Sends the bytes before this marker, and those after it 40 ms later. */
  static final String PAUSE = "<pause>";

  private static final long PAUSE_MS = 40;

  /** Repeats the text after this marker until the other side closes the connection. */
  static final String ENDLESS = "<endless>";

  /** Sends nothing for {@link #SILENCE_MS}, then goes on with the text after this marker. */
  static final String SILENCE = "<silence>";

  /** Longer than a probe waits, shorter than a caller. */
  static final long SILENCE_MS = 1_200;

  final List<String> requests = new CopyOnWriteArrayList<>();

  /** The connections on which the requests came, in the same order. */
  final List<Socket> carriers = new CopyOnWriteArrayList<>();

  volatile Function<String, String> script = request -> CLOSE;
  volatile boolean endlessRunning;
  final AtomicLong bytesRepeated = new AtomicLong();
  private final ServerSocket listening;
  private final Thread acceptor;
  private final List<Socket> open = new CopyOnWriteArrayList<>();

  ScriptedTarget() throws IOException {
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    acceptor = daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "scripted-target");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        if (listening.isClosed()) {
          // Accepted while the port was being closed.
          socket.close();
        }
        open.add(socket);
        daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      for (String request = read(socket.getInputStream());
          !request.isEmpty();
          request = read(socket.getInputStream())) {
        record(request, socket);
        String whole = script.apply(request);
        int endless = whole.indexOf(ENDLESS);
        String response = endless < 0 ? whole : whole.substring(0, endless);
        String bytes = response.replace(CLOSE, "").replace(RESET, "").replace(HANG, "");
        writeWithPauses(socket, bytes);
        if (endless >= 0) {
          repeat(socket, whole.substring(endless + ENDLESS.length()));
        }
        if (response.endsWith(RESET)) {
          socket.setSoLinger(true, 0);
          return;
        }
        if (response.endsWith(CLOSE)) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side has closed the connection.
    }
  }

  private synchronized void record(String request, Socket socket) {
    carriers.add(socket);
    requests.add(request);
  }

  private static void writeWithPauses(Socket socket, String text) throws IOException {
    boolean silent = false;
    for (String stretch : Splitter.on(SILENCE).split(text)) {
      if (silent) {
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(SILENCE_MS));
      }
      silent = true;
      writeParts(socket, stretch);
    }
  }

  private static void writeParts(Socket socket, String text) throws IOException {
    boolean paused = false;
    for (String part : Splitter.on(PAUSE).split(text)) {
      if (paused) {
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(PAUSE_MS));
      }
      paused = true;
      socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }
  }

  /** Accepts no further connections; the open ones stay open. */
  void stopListening() throws IOException {
    listening.close();
    // The port takes connections for as long as a thread waits on it.
    Uninterruptibles.joinUninterruptibly(acceptor);
  }

  /** Returns how many connections were accepted. */
  int connections() {
    return open.size();
  }

  private void repeat(Socket socket, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    endlessRunning = true;
    try {
      while (true) {
        socket.getOutputStream().write(bytes);
        bytesRepeated.addAndGet(bytes.length);
      }
    } finally {
      endlessRunning = false;
    }
  }

  /** Reads a head and a body of its Content-Length; returns "" at the end of the connection. */
  private static String read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return "";
      }
      head.write(b);
    }
    String text = head.toString(StandardCharsets.ISO_8859_1);
    int length = 0;
    for (String line : text.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
    }
    return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    stopListening();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
