package org.clementinesail.server.targets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.server.targets.Services.Attempt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a call is sent at most once, as counted by a server that answers with raw bytes. */
public final class ServiceClientTest {
  private static final String BODY = "{\"kits\":2}";

  /**
   * Counts requests and answers each with the same bytes; closes the connection if there are none.
   */
  private static final class RawServer implements AutoCloseable {
    private final ServerSocket socket;
    private final byte[] answer;
    private final boolean readBody;
    final AtomicInteger requests = new AtomicInteger();
    final AtomicInteger connections = new AtomicInteger();

    RawServer(String answer, boolean readBody) throws IOException {
      this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      this.answer = answer.getBytes(StandardCharsets.US_ASCII);
      this.readBody = readBody;
      Thread thread = new Thread(this::accept);
      thread.setDaemon(true);
      thread.start();
    }

    int port() {
      return socket.getLocalPort();
    }

    private void accept() {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          connections.incrementAndGet();
          Thread thread = new Thread(() -> serve(connection));
          thread.setDaemon(true);
          thread.start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = connection.getInputStream();
        StringBuilder head = new StringBuilder();
        while (true) {
          int next = in.read();
          if (next < 0) {
            return;
          }
          head.append((char) next);
          if (head.toString().endsWith("\r\n\r\n")) {
            requests.incrementAndGet();
            if (readBody && head.toString().startsWith("POST")) {
              in.readNBytes(BODY.length());
            }
            head.setLength(0);
            if (answer.length == 0) {
              return;
            }
            connection.getOutputStream().write(answer);
          }
        }
      } catch (IOException e) {
        // The client has closed the connection.
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static Attempt send(int port, String method) {
    TargetDescription target =
        new TargetDescription("shop", "http://127.0.0.1:" + port, "dc", "shop-app", null);
    return new ServiceClient(Duration.ofSeconds(1))
        .send(
            target,
            method,
            "/orders",
            Map.of("Content-Type", "application/json"),
            method.equals("POST") ? BODY.getBytes(StandardCharsets.UTF_8) : new byte[0],
            true,
            System.nanoTime() + TimeUnit.SECONDS.toNanos(2));
  }

  /** Responses after which HTTP clients send a request again, for POST and GET. */
  @DataProvider
  public Object[][] retryTriggeringResponses() {
    String end = "Content-Length: 0\r\n\r\n";
    Object[][] cases = {
      {"HTTP/1.1 503 Busy\r\nRetry-After: 0\r\n" + end},
      {"HTTP/1.1 408 Timeout\r\n" + end},
      {"HTTP/1.1 408 Timeout\r\nConnection: close\r\n" + end},
      {"HTTP/1.1 421 Misdirected\r\n" + end},
      {"HTTP/1.1 307 Moved\r\nLocation: /elsewhere\r\n" + end},
      {"HTTP/1.1 302 Moved\r\nLocation: /elsewhere\r\n" + end},
      {"HTTP/1.1 401 Who\r\nWWW-Authenticate: Basic realm=x\r\n" + end},
      {""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort"},
      {"garbage\r\n\r\n"},
    };
    Object[][] rows = new Object[cases.length * 2][];
    for (int i = 0; i < cases.length; i++) {
      rows[2 * i] = new Object[] {cases[i][0], "POST"};
      rows[2 * i + 1] = new Object[] {cases[i][0], "GET"};
    }
    return rows;
  }

  /** A call is sent once on one connection, whatever the response. */
  @Test(dataProvider = "retryTriggeringResponses")
  public void requestIsSentOnce(String answer, String method) throws IOException {
    try (RawServer server = new RawServer(answer, true)) {
      Attempt attempt = send(server.port(), method);
      assertEquals(server.requests.get(), 1);
      assertEquals(server.connections.get(), 1);
      boolean complete = answer.contains("Content-Length: 0");
      assertEquals(attempt instanceof Attempt.Answered, complete);
      assertEquals(attempt instanceof Attempt.MaybeSent, !complete);
    }
  }

  /** A truncated response counts as a call that may have been sent, not as an answer. */
  @Test
  public void truncatedAnswerIsMaybeSent() throws IOException {
    try (RawServer server =
        new RawServer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true)) {
      assertTrue(send(server.port(), "POST") instanceof Attempt.MaybeSent);
    }
  }

  /** Nothing is sent if the connection is refused. */
  @Test
  public void refusedConnectionSentNothing() throws IOException {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    assertTrue(send(port, "POST") instanceof Attempt.NothingSent);
  }

  /**
   * A call whose deadline has passed sends nothing; this occurs when a frozen process is resumed.
   */
  @Test
  public void expiredCallSendsNothing() throws IOException {
    try (RawServer server = new RawServer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true)) {
      TargetDescription target =
          new TargetDescription(
              "shop", "http://127.0.0.1:" + server.port(), "dc", "shop-app", null);
      Attempt attempt =
          new ServiceClient(Duration.ofSeconds(1))
              .send(target, "POST", "/", Map.of(), new byte[1], true, System.nanoTime() - 1);
      assertTrue(attempt instanceof Attempt.NothingSent);
      assertEquals(server.connections.get(), 0);
    }
  }
}
