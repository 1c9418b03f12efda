package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no copy of a stream, whole or cut, reaches the next caller of its connection. */
public final class LeftoverStreamBytesTest extends ProxyTest {
  private static final String FIRST = stream("r0");
  static final String SECOND = stream("r1");
  private static final String FAILURE =
      "HTTP/1.1 500 Internal Server Error\r\nId: r1\r\nProof: pr1\r\nContent-Length: 7\r\n\r\nfailure";

  /** When the copy is sent. */
  enum Moment {
    WITH_THE_END,
    WHILE_IDLE,
    BEFORE_THE_NEXT_RESPONSE
  }

  private static String stream(String id) {
    StringBuilder chunks = new StringBuilder();
    for (int number = 1; number <= 2; number++) {
      String event = "id: " + number + "\ndata: text of " + id + "\n\n";
      chunks
          .append(Integer.toHexString(event.length()))
          .append("\r\n")
          .append(event)
          .append("\r\n");
    }
    return EVENT_STREAM_HEAD
        + "Id: "
        + id
        + "\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunks
        + "0\r\n\r\n";
  }

  /** Positions within the status line, at each line's end and in the body, and the whole length. */
  private static Set<Integer> cuts() {
    Set<Integer> cuts = new LinkedHashSet<>(List.of(1, 9, 12, 15));
    for (int end = FIRST.indexOf('\n'); end >= 0; end = FIRST.indexOf('\n', end + 1)) {
      cuts.add(end);
      cuts.add(end + 1);
    }
    return cuts;
  }

  /** Length of the copy, when it is sent, and the second response. */
  @DataProvider
  public Object[][] copies() {
    List<Object[]> copies = new ArrayList<>();
    for (int cut : cuts()) {
      for (Moment moment : Moment.values()) {
        copies.add(new Object[] {cut, moment, FAILURE});
        copies.add(new Object[] {cut, moment, SECOND});
      }
    }
    return copies.toArray(Object[][]::new);
  }

  /** Returns whether the copy is whole. */
  static boolean isWhole(int cut) {
    return cut == FIRST.length();
  }

  /** Returns the first response, and the copy of it if that is sent before the next request. */
  static String firstResponse(int cut, Moment moment) {
    String copy = FIRST.substring(0, cut);
    return switch (moment) {
      case WITH_THE_END -> FIRST + copy;
      case WHILE_IDLE -> FIRST + ScriptedTarget.PAUSE + copy;
      case BEFORE_THE_NEXT_RESPONSE -> FIRST;
    };
  }

  /** Returns the second response, after the copy of the first one if that is sent only then. */
  static String secondResponse(int cut, Moment moment, String second) {
    boolean before = moment == Moment.BEFORE_THE_NEXT_RESPONSE;
    return before ? FIRST.substring(0, cut) + second : second;
  }

  /** The caller gets its own whole response or a failure, never the status of the copy. */
  @Test(dataProvider = "copies", timeOut = 20_000)
  public void copyOfAStreamIsNotTakenForTheNextResponse(int cut, Moment moment, String second)
      throws Exception {
    applyDesiredState();
    addTarget("t1", first, "a");
    first.script =
        request ->
            request.contains("Id: r0")
                ? firstResponse(cut, moment)
                : secondResponse(cut, moment, second);
    assertEquals(status(call("POST", "/stream/x", "Id: r0\r\n", "")), 200);
    String answer = call("POST", "/stream/x", "", "");
    assertFalse(answer.contains("text of r0"), answer);
    if (status(answer) / 100 == 2) {
      assertEquals(second, SECOND, answer);
      assertTrue(answer.contains("data: text of r1\n\n") && answer.endsWith("0\r\n\r\n"), answer);
    }
  }
}
