package org.clementinesail.server.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that calls on one connection to {@link HttpEndpoint} get their own answers, in order. */
public final class PipelinedCallsTest {
  private static final int MAX_BODY_BYTES = 64;
  private static final long SLOW_MS = 100;

  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private Channel channel;
  private final List<String> handled = new CopyOnWriteArrayList<>();

  /** Starts an endpoint that answers with the path, to /slow later, to /fails after an error. */
  @BeforeMethod
  public void start() {
    handled.clear();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    channel =
        HttpEndpoint.listen(
            loop,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            MAX_BODY_BYTES,
            new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream())),
            this::handle);
  }

  private void handle(FullHttpRequest request, Consumer<FullHttpResponse> reply) {
    String uri = request.uri();
    handled.add(uri);
    Runnable answer = () -> reply.accept(HttpEndpoint.text(200, "text/plain", "to " + uri + ";"));
    if (uri.equals("/slow")) {
      loop.schedule(answer, SLOW_MS, TimeUnit.MILLISECONDS);
    } else if (uri.equals("/fails")) {
      loop.schedule(answer, SLOW_MS / 2, TimeUnit.MILLISECONDS);
      throw new IllegalStateException("thrown by the test");
    } else {
      answer.run();
    }
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

  private static String call(String path, String more) {
    return "POST " + path + " HTTP/1.1\r\n" + more + "\r\n";
  }

  /** Calls in one packet, and the statuses and bodies of their answers. */
  @DataProvider
  public Object[][] calls() {
    String none = "Content-Length: 0\r\n";
    String close = none + "Connection: close\r\n";
    String tooLong = "Content-Length: 65\r\n";
    String rest = "a".repeat(65);
    return new Object[][] {
      {
        "slow call first",
        call("/slow", none) + call("/a", none) + call("/slow", none) + call("/b", close),
        "200 to /slow;200 to /a;200 to /slow;200 to /b;"
      },
      {
        "slow call and body too long",
        call("/slow", none) + call("/long", tooLong) + rest + call("/b", close),
        "200 to /slow;413 200 to /b;"
      },
      {
        "late second answer of a failed call",
        call("/fails", none) + call("/slow", none) + call("/b", close),
        "500 200 to /slow;200 to /b;"
      },
      {"body too long", call("/long", tooLong) + rest + call("/b", close), "413 200 to /b;"},
      {"slow call and no HTTP", call("/slow", none) + "hello\r\n\r\n", "200 to /slow;400 "},
      {"calls after the last one", call("/a", close) + call("/evil", close), "200 to /a;"},
      {"calls after a slow last one", call("/slow", close) + call("/evil", close), "200 to /slow;"},
      {"calls after no HTTP", "hello\r\n\r\n" + call("/evil", close), "400 "},
      {"two lengths", call("/a", none + "Content-Length: 9\r\n") + call("/evil", close), "400 "},
      {
        "length and chunks",
        call("/a", "Content-Length: 60\r\nTransfer-Encoding: chunked\r\n")
            + "0\r\n\r\n"
            + call("/evil", close),
        "400 "
      },
      {"unknown coding", call("/a", "Transfer-Encoding: gzip\r\n") + call("/evil", close), "400 "},
      {
        "chunk without its line end",
        call("/a", "Transfer-Encoding: chunked\r\n")
            + "1\r\nab\r\n0\r\n\r\n"
            + call("/evil", close),
        "400 "
      },
    };
  }

  /** Answers come in the order of the calls, and what follows a broken or last call is not read. */
  @Test(dataProvider = "calls", timeOut = 20_000)
  public void callsOfAConnectionGetTheirOwnAnswers(String name, String bytes, String answers)
      throws Exception {
    String text = send(bytes);
    StringBuilder found = new StringBuilder();
    for (String part : text.split("HTTP/1.1 ", -1)) {
      int body = part.indexOf("\r\n\r\n");
      found.append(part.isEmpty() ? "" : part.substring(0, 3) + " " + part.substring(body + 4));
    }
    assertEquals(found.toString(), answers, name + ": " + text);
    assertFalse(handled.contains("/evil"), name + ": " + handled);
  }
}
