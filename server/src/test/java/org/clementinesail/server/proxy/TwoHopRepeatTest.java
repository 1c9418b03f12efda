package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a caller that repeats a request with its id gets the answer of that attempt. */
public final class TwoHopRepeatTest extends TwoHopTest {
  private static final long MAX_WAIT_S = 5;

  /** Where the two attempts are sent; both VMs send to the same target. */
  private enum Vm {
    CUT,
    SERVING,
    RELAY
  }

  private int port(Vm vm) {
    return switch (vm) {
      case CUT -> port;
      case SERVING -> servingPort;
      case RELAY -> relayPort;
    };
  }

  /** VMs of the two attempts, by kind of route. */
  @DataProvider
  public Object[][] attempts() {
    return new Object[][] {
      {Vm.CUT, Vm.CUT, "/once/x"},
      {Vm.CUT, Vm.SERVING, "/once/x"},
      {Vm.SERVING, Vm.CUT, "/once/x"},
      {Vm.CUT, Vm.RELAY, "/once/x"},
      {Vm.CUT, Vm.CUT, "/lookup/x"},
      {Vm.CUT, Vm.SERVING, "/lookup/x"},
      {Vm.SERVING, Vm.CUT, "/lookup/x"},
      {Vm.SERVING, Vm.SERVING, "/lookup/x"},
    };
  }

  private static String echo(String request) {
    String text = request.substring(request.indexOf("\r\n\r\n") + 4);
    return identifiedResponse(request).replace("4\r\n\r\nwell", text.length() + "\r\n\r\n" + text);
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(MAX_WAIT_S, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static String readAll(Socket socket) throws Exception {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Answers an attempt with the body "one" only after the latch, and others at once. */
  private CountDownLatch holdBackFirst(CountDownLatch arrived, String before) {
    CountDownLatch released = new CountDownLatch(1);
    first.script =
        request -> {
          if (request.endsWith("one")) {
            arrived.countDown();
            await(released);
            return echo(request);
          }
          return before + echo(request);
        };
    return released;
  }

  /** The first attempt's answer is still due when the second one is answered. */
  @Test(dataProvider = "attempts")
  public void repeatBesideTheFirstAttemptGetsItsOwnAnswer(Object one, Object two, String path)
      throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch released = holdBackFirst(arrived, "");
    try (Socket socket = open(port((Vm) one), path, "Id: x1\r\n", "one")) {
      await(arrived);
      String second = callAt(port((Vm) two), path, "Id: x1\r\n", "two");
      assertEquals(body(second), "two", describe());
      released.countDown();
      assertEquals(body(readAll(socket)), "one", describe());
    }
  }

  /** The caller has left the first attempt, whose answer comes while the second one is due. */
  @Test(dataProvider = "attempts")
  public void repeatAfterLeavingGetsItsOwnAnswer(Object one, Object two, String path)
      throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch released = holdBackFirst(arrived, "");
    Socket socket = open(port((Vm) one), path, "Id: x1\r\n", "one");
    await(arrived);
    socket.close();
    released.countDown();
    String second = callAt(port((Vm) two), path, "Id: x1\r\n", "two");
    assertEquals(body(second), "two", describe());
    assertEquals(body(callAt(port, path, "Id: x2\r\n", "three")), "three", describe());
  }

  /** A late copy of the first attempt's answer, with the same id, is not that of the second. */
  @Test(dataProvider = "attempts")
  public void lateCopyIsNotTheAnswerOfTheRepeat(Object one, Object two, String path)
      throws Exception {
    first.script =
        request -> {
          String own = echo(request);
          return request.endsWith("one") ? own + ScriptedTarget.PAUSE + own : own;
        };
    assertEquals(body(callAt(port((Vm) one), path, "Id: x1\r\n", "one")), "one", describe());
    assertEquals(body(callAt(port((Vm) two), path, "Id: x1\r\n", "two")), "two", describe());
    assertEquals(body(callAt(port, path, "Id: x2\r\n", "three")), "three", describe());
    assertTrue(first.carriers.get(0) != first.carriers.get(1), describe());
  }
}
