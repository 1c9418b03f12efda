package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.testng.annotations.Test;

/** Tests that a connection that is to be closed neither starts nor cuts off requests. */
public final class ClosingConnectionTest extends ProxyTest {
  private static String request(String path, String headers) {
    return "POST " + path + " HTTP/1.1\r\nHost: shop\r\nId: r1\r\n" + headers + "\r\n";
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(3_000);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static List<String> statuses(String responses) {
    return Pattern.compile("HTTP/1\\.1 ([0-9]{3})")
        .matcher(responses)
        .results()
        .map(match -> match.group(1))
        .toList();
  }

  /** A refusal of a second request comes after the answer to the first one. */
  @Test
  public void refusalDoesNotCutOffTheAnswerBeforeIt() throws Exception {
    startTargets(ScriptedTarget.SILENCE + OK_RESPONSE);
    applyVersion(2, RequestLimits.DEFAULT.idleTimeoutMillis());
    try (Socket socket = connect()) {
      write(socket, request("/once/x", "") + "POST /once/x HTTP/x\r\n\r\n");
      assertEquals(statuses(readAll(socket)), List.of("200", "400"));
    }
  }

  /** A request behind one that is refused for its size is not sent to a target. */
  @Test
  public void nothingIsSentAfterARefusalOfTheConnection() throws Exception {
    startTargets(OK_RESPONSE);
    int tooLong = RequestLimits.DEFAULT.maxBodyBytes() + 1;
    try (Socket socket = connect()) {
      write(socket, request("/once/x", "Content-Length: " + tooLong + "\r\n"));
      write(socket, "x".repeat(tooLong) + request("/once/x", ""));
      assertEquals(statuses(readAll(socket)), List.of("413"));
    } catch (IOException e) {
      // The refusal closes the connection before the body is read.
    }
    TimeUnit.MILLISECONDS.sleep(100);
    assertEquals(first.requests.size(), 0);
  }

  /** A request behind one that asks to close the connection is not sent to a target. */
  @Test
  public void nothingIsSentAfterTheLastRequest() throws Exception {
    startTargets(OK_RESPONSE);
    try (Socket socket = connect()) {
      write(socket, request("/once/x", "Connection: close\r\n") + request("/once/x", ""));
      assertEquals(statuses(readAll(socket)), List.of("200"));
    }
    TimeUnit.MILLISECONDS.sleep(100);
    assertEquals(first.requests.size(), 1);
  }

  /** A request behind a stream that began before a planned stop is answered. */
  @Test
  public void requestBehindAStreamIsAnsweredDuringAStop() throws Exception {
    int length = (event(1) + event(2)).length();
    String stream =
        EVENT_STREAM_HEAD
            + ("Content-Length: " + length + "\r\n\r\n")
            + (event(1) + ScriptedTarget.SILENCE + event(2));
    startTargets(OK_RESPONSE);
    applyVersion(2, RequestLimits.DEFAULT.idleTimeoutMillis());
    first.script = request -> request.contains("/stream/") ? stream : OK_RESPONSE;
    try (Socket socket = connect()) {
      write(socket, request("/stream/x", "") + request("/once/x", ""));
      String responses = "" + (char) socket.getInputStream().read();
      drain(5_000, 10_000);
      responses += readAll(socket);
      assertEquals(statuses(responses), List.of("200", "200"), responses);
      assertTrue(responses.contains("data: e2"), responses);
      assertTrue(responses.endsWith("well"), responses);
    }
  }

  /** A request behind a plain one in progress is answered during a planned stop. */
  @Test
  public void requestBehindAPlainOneIsAnsweredDuringAStop() throws Exception {
    startTargets(ScriptedTarget.SILENCE + OK_RESPONSE);
    applyVersion(2, RequestLimits.DEFAULT.idleTimeoutMillis());
    try (Socket socket = connect()) {
      write(socket, request("/once/x", "") + request("/once/x", ""));
      while (first.requests.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      drain(5_000, 10_000);
      assertEquals(statuses(readAll(socket)), List.of("200", "200"));
    }
  }

  /** A caller that pipelines more requests than may wait still gets the answers to the others. */
  @Test
  public void tooManyPipelinedRequestsDoNotCutOffTheOneInProgress() throws Exception {
    startTargets(OK_RESPONSE);
    first.script = r -> (first.requests.size() > 1 ? "" : ScriptedTarget.SILENCE) + OK_RESPONSE;
    applyVersion(2, RequestLimits.DEFAULT.idleTimeoutMillis());
    try (Socket socket = connect()) {
      write(socket, request("/once/x", "").repeat(30));
      List<String> expected = new ArrayList<>(Collections.nCopies(17, "200"));
      expected.add("503");
      assertEquals(statuses(readAll(socket)), expected);
    }
    assertEquals(first.requests.size(), 17);
  }

  /** A refusal that waits behind a stream that breaks off is dropped and keeps no thread busy. */
  @Test
  public void refusalBehindABrokenStreamEndsWithIt() throws Exception {
    String stream = EVENT_STREAM_HEAD + "Content-Length: 999\r\n\r\n" + event(1);
    startTargets(stream + ScriptedTarget.SILENCE + ScriptedTarget.RESET);
    applyVersion(2, RequestLimits.DEFAULT.idleTimeoutMillis());
    try (Socket socket = connect()) {
      write(socket, request("/stream/x", "") + "POST /once/x HTTP/x\r\n\r\n");
      assertEquals(statuses(readAll(socket)), List.of("200"));
    }
    TimeUnit.MILLISECONDS.sleep(300);
    assertFalse(logged().contains("unreadable"), logged());
  }

  private static Route route(String name, Route.Kind kind) {
    return new Route(
        name,
        "shop",
        "/" + name + "/",
        kind,
        5_000,
        100,
        1,
        List.of(new Route.Split("s", 1)),
        2,
        true,
        false,
        0);
  }

  private void applyVersion(long version, long idleMillis) throws Exception {
    RequestLimits limits =
        new RequestLimits(
            RequestLimits.DEFAULT.maxHeaderBytes(),
            RequestLimits.DEFAULT.maxBodyBytes(),
            RequestLimits.DEFAULT.headerTimeoutMillis(),
            idleMillis);
    DesiredState.CheckResult checked =
        DesiredState.check(
            version,
            List.of(route("once", Route.Kind.NON_IDEMPOTENT), route("stream", Route.Kind.STREAM)),
            List.of(new Service("s", 100, null)),
            List.of(),
            limits);
    loop.submit(() -> routing.desiredState(((DesiredState.Valid) checked).state())).sync();
  }

  private static boolean isOpen(Socket socket) throws IOException {
    socket.setSoTimeout(1_500);
    try {
      return socket.getInputStream().read() >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    }
  }

  /** A version with a lower idle limit closes no connection that is idle under the one before. */
  @Test
  public void lowerIdleLimitHoldsFromTheNextIdleTimeOn() throws Exception {
    startTargets(OK_RESPONSE);
    applyVersion(2, 15_000);
    try (Socket socket = connect()) {
      write(socket, request("/once/x", ""));
      assertEquals(socket.getInputStream().read(), 'H');
      socket.getInputStream().readNBytes(socket.getInputStream().available());
      applyVersion(3, 100);
      assertTrue(isOpen(socket), "closed by the new limit");
      write(socket, request("/once/x", ""));
      assertEquals(socket.getInputStream().read(), 'H');
      socket.getInputStream().readNBytes(socket.getInputStream().available());
      assertFalse(isOpen(socket), "open beyond the new limit");
    }
  }

  /** A request that arrived while the event loop was busy is read before its connection closes. */
  @Test
  public void requestThatHasArrivedIsReadBeforeAnIdleConnectionCloses() throws Exception {
    startTargets(OK_RESPONSE);
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(1);
    try (Socket socket = connect()) {
      write(socket, request("/once/x", ""));
      socket.getInputStream().readNBytes(OK_RESPONSE.length());
      Future<?> closed =
          loop.submit(
              () -> {
                busy.countDown();
                Uninterruptibles.awaitUninterruptibly(sent);
                proxy.stopAcceptingAndCheckIdle(0);
              });
      busy.await();
      write(socket, request("/once/x", "Connection: close\r\n"));
      TimeUnit.MILLISECONDS.sleep(50);
      sent.countDown();
      closed.sync();
      assertEquals(statuses(readAll(socket)), List.of("200"));
    }
  }
}
