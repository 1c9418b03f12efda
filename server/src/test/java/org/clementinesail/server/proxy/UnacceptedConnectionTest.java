package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what callers get if a target's port is closed after the kernel has taken the connection and
 * the request, but before the target has accepted it. The VM can't tell this from a target that has
 * read the request and ended.
 */
public final class UnacceptedConnectionTest extends ProxyTest {
  private static final long TIMEOUT_MS = 5_000;

  private Selector selector;
  private ServerSocketChannel listening;

  /** Opens a port on which no connection is ever accepted. */
  @BeforeMethod
  public void listen() throws IOException {
    selector = Selector.open();
    listening = ServerSocketChannel.open();
    listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    listening.configureBlocking(false);
    listening.register(selector, SelectionKey.OP_ACCEPT);
  }

  /** Closes the port if the test has not. */
  @AfterMethod(alwaysRun = true)
  public void closePort() throws IOException {
    selector.close();
    listening.close();
  }

  /** Sends a request to the port, closes it once the request has come, and returns the status. */
  private int statusAfterReset(String method, String path) throws Exception {
    applyDesiredState();
    addTarget("t2", second, "b");
    second.script = request -> OK_RESPONSE;
    addTarget("t3", "127.0.0.1:" + listening.socket().getLocalPort(), "a");
    CompletableFuture<String> response =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return call(method, path, "", "");
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    assertEquals(selector.select(TIMEOUT_MS), 1, "connections");
    // The event loop sends the request before it answers a caller who connects after that.
    assertEquals(status(call("GET", "/none/x", "Id: r2\r\n", "")), 404);
    closePort();
    return status(response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
  }

  /** An order may have run: it is not sent again, and its caller is not told that it has not. */
  @Test
  public void orderIsAnsweredWith502() throws Exception {
    assertEquals(statusAfterReset("POST", "/once/x"), 502, logged());
    assertEquals(second.requests.size(), 0);
  }

  /** A request that may be repeated is sent to another target. */
  @Test
  public void repeatableRequestIsSentToAnotherTarget() throws Exception {
    assertEquals(statusAfterReset("GET", "/lookup/x"), 200, logged());
    assertEquals(second.requests.size(), 1);
  }
}
