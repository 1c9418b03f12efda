package org.clementinesail.server.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that each call to {@link HttpEndpoint} gets an answer. */
public class HttpEndpointTest {
  private static final int MAX_BODY_BYTES = 16;

  private MultiThreadIoEventLoopGroup group;
  private Channel channel;
  private ByteArrayOutputStream logged;

  /** Starts an endpoint whose handler fails for some paths. */
  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    logged = new ByteArrayOutputStream();
    DecisionLog log = new DecisionLog("test", new PrintStream(logged));
    channel =
        HttpEndpoint.listen(
            (EventLoop) group.next(),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            MAX_BODY_BYTES,
            log,
            (request, reply) -> {
              if (request.uri().equals("/error")) {
                throw new IllegalArgumentException("not what it expects");
              } else if (request.uri().equals("/overflow")) {
                throw new StackOverflowError();
              }
              reply.accept(HttpEndpoint.text(200, "text/plain", "ok"));
              if (request.uri().equals("/late-error")) {
                throw new IllegalStateException("after the answer");
              }
            });
  }

  /** Stops the endpoint. */
  @AfterMethod
  public void stop() throws Exception {
    channel.close().sync();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private String send(String bytes) throws IOException {
    int port = ((InetSocketAddress) channel.localAddress()).getPort();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /** Requests, and the statuses of all responses on their connection. */
  @DataProvider
  public Object[][] requests() {
    String close = " HTTP/1.1\r\nConnection: close\r\n\r\n";
    return new Object[][] {
      {"sound", "GET /" + close, "200"},
      {"handler throws", "GET /error" + close, "500"},
      {"handler overflows the stack", "GET /overflow" + close, "500"},
      {"handler throws after its answer", "GET /late-error" + close, "200"},
      {"next call on the connection", "GET /error HTTP/1.1\r\n\r\nGET /" + close, "500 200"},
      {"not HTTP", "hello there\r\n\r\n", "400"},
      {"path too long", "GET /" + "a".repeat(9_000) + close, "400"},
      {
        "body too long",
        "POST /" + close.replace("\r\n\r\n", "\r\nContent-Length: 17\r\n\r\n") + "a".repeat(17),
        "413"
      },
      {"length not a number", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"},
    };
  }

  /** A call that can't be handled gets an error status, not a closed connection. */
  @Test(dataProvider = "requests")
  public void callIsAnswered(String name, String request, String statuses) throws Exception {
    String response = send(request);
    StringBuilder found = new StringBuilder();
    for (String part : response.split("HTTP/1.1 ", -1)) {
      found.append(part.isEmpty() ? "" : part.substring(0, 3) + " ");
    }
    assertEquals(found.toString().strip(), statuses, name);
    assertEquals(send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n").substring(9, 12), "200");
  }

  /** A failure of the handler leaves one bounded line that names the call. */
  @Test
  public void failureIsLogged() throws Exception {
    send("GET /error HTTP/1.1\r\nConnection: close\r\n\r\n");
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (logged.size() == 0 && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    String line = logged.toString(StandardCharsets.UTF_8);
    assertTrue(line.contains("\"uri\":\"/error\"") && line.contains("not what it expects"), line);
    assertTrue(line.length() < 1_000, line);
  }
}
