package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what follows in a caller's stream when a target breaks it off and another is asked. */
public final class ContinuedStreamTest extends ProxyTest {
  /** Longest time to the end of a stream that cannot go on, if its last target answers at once. */
  private static final long AT_ONCE_MS = LONG_TIMEOUT_MS / 2;

  /** The timeout of the routes, and half a second. */
  private static final long TIMEOUT_MS = LONG_TIMEOUT_MS + 500;

  static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  private static String chunk(String body) {
    return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
  }

  /** A chunked event stream that breaks off after the given events. */
  private static String broken(String events) {
    return EVENT_STREAM_HEAD
        + "Transfer-Encoding: chunked\r\n\r\n"
        + chunk(events)
        + ScriptedTarget.RESET;
  }

  private static String whole(String events) {
    return EVENT_STREAM_HEAD + "Content-Length: " + events.length() + "\r\n\r\n" + events;
  }

  private static String answer(String head, String body) {
    return "HTTP/1.1 " + head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private String describe(String name, Received received) {
    String arrivals = first.requests.size() + " and " + second.requests.size() + " requests";
    return name + ": " + received + "; targets got " + arrivals + "; " + logged();
  }

  private static List<String> events(Received received) {
    return Pattern.compile("data: (e[0-9])")
        .matcher(received.text())
        .results()
        .map(match -> match.group(1))
        .toList();
  }

  /** Answers of the second target that are not the rest of the stream, and the longest wait. */
  @DataProvider
  public Object[][] foreignAnswers() {
    String proof = "Proof: p\r\n";
    String text = "Content-Type: text/plain\r\n";
    String large = "evil".repeat(50_000);
    return new Object[][] {
      {"500", answer("500 No\r\n" + proof, "evil"), AT_ONCE_MS},
      {
        "500 with the type of events",
        answer("500 No\r\n" + proof + "Content-Type: text/event-stream\r\n", event(3)),
        AT_ONCE_MS
      },
      {"503 that has run", answer("503 No\r\n" + proof, "evil"), AT_ONCE_MS},
      {"404", answer("404 No\r\n" + proof, "evil"), AT_ONCE_MS},
      {"200 of another type", answer("200 OK\r\n" + proof + text, "evil"), AT_ONCE_MS},
      {"200 of another type, large", answer("200 OK\r\n" + proof + text, large), AT_ONCE_MS},
      {"500, large", answer("500 No\r\n" + proof, large), AT_ONCE_MS},
      {"200 without a type", answer("200 OK\r\n" + proof, "evil\n\n"), AT_ONCE_MS},
      {
        "200 with an encoding",
        answer(
            "200 OK\r\n" + proof + "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n",
            event(3)),
        AT_ONCE_MS
      },
      {
        "200 without proof",
        answer("200 OK\r\nContent-Type: text/event-stream\r\n", event(3)),
        AT_ONCE_MS
      },
      {"204", "HTTP/1.1 204 None\r\n" + proof + "\r\n", AT_ONCE_MS},
      {
        "204 with the type of events",
        "HTTP/1.1 204 None\r\n" + proof + "Content-Type: text/event-stream\r\n\r\n",
        AT_ONCE_MS
      },
      {"304", "HTTP/1.1 304 Same\r\n" + proof + "\r\n", AT_ONCE_MS},
      {
        "206 of events",
        answer("206 Part\r\n" + proof + "Content-Type: text/event-stream\r\n", event(3)),
        AT_ONCE_MS
      },
      {"closed", ScriptedTarget.CLOSE, AT_ONCE_MS},
      {"reset", ScriptedTarget.RESET, AT_ONCE_MS},
      {"head, then reset", EVENT_STREAM_HEAD + "\r\n" + ScriptedTarget.RESET, AT_ONCE_MS},
      {"hang", ScriptedTarget.HANG, TIMEOUT_MS},
      {
        "hang within a failure",
        answer("500 No\r\n" + proof, "evil").replace(": 4", ": 9"),
        AT_ONCE_MS
      },
      {"event without id", whole("data: e9\n\n"), AT_ONCE_MS},
    };
  }

  /** Nothing of a failure reaches a caller whose stream has begun; the stream ends incomplete. */
  @Test(dataProvider = "foreignAnswers")
  public void foreignAnswerEndsTheStreamIncomplete(String name, String script, long maxMillis)
      throws Exception {
    startTargets(broken(event(1) + event(2)));
    second.script = request -> script;
    Received received = receive("/stream/x", "");
    String seen = describe(name, received);
    assertTrue(received.closed(), seen);
    assertFalse(received.complete(), seen);
    assertFalse(received.text().contains("evil"), seen);
    assertEquals(received.heads(), 1, seen);
    assertEquals(events(received), List.of("e1", "e2"), seen);
    assertTrue(received.millis() < maxMillis, seen);
    assertEquals(second.requests.size(), 1, seen);
  }

  /** Where the route allows a third target, the stream goes on there. */
  @Test(dataProvider = "foreignAnswers")
  public void foreignAnswerIsRetriedElsewhere(String name, String script, long maxMillis)
      throws Exception {
    startTargets(broken(event(1) + event(2)));
    try (ScriptedTarget third = new ScriptedTarget()) {
      third.script = request -> whole(event(2) + event(3) + event(4));
      second.script = request -> addedBefore(third, script);
      Received received = receive("/stream3/x", "");
      String seen = describe(name, received);
      assertFalse(received.text().contains("evil"), seen);
      assertEquals(received.heads(), 1, seen);
      boolean silent = script.equals(ScriptedTarget.HANG);
      assertEquals(received.complete(), !silent, seen);
      assertEquals(
          events(received), silent ? List.of("e1", "e2") : List.of("e1", "e2", "e3", "e4"), seen);
      if (!silent) {
        assertTrue(third.requests.get(0).contains("After: 2\r\n"), third.requests.get(0));
      }
    }
  }

  /** Announces a further target, so that the next attempt goes there, and returns the answer. */
  private String addedBefore(ScriptedTarget target, String answer) {
    try {
      addTarget("t3", target, "c");
    } catch (Exception e) {
      throw new AssertionError(e);
    }
    return answer;
  }

  /** Events that a stream cannot be continued after without repeating one. */
  @DataProvider
  public Object[][] eventsWithoutOrder() {
    return new Object[][] {
      {"no ids", "data: e1\n\ndata: e2\n\n"},
      {"one without an id", event(1) + "data: e2\n\n"},
      {"an empty id", event(1) + "id:\ndata: e2\n\n"},
      {"ids that are no numbers", "id: b\ndata: e1\n\nid: a\ndata: e2\n\n"},
      {"ids that fall", "id: 7\ndata: e1\n\nid: 3\ndata: e2\n\n"},
    };
  }

  /** A stream whose events have no rising ids is not continued, as events would come twice. */
  @Test(dataProvider = "eventsWithoutOrder")
  public void streamWithoutRisingIdsIsNotContinued(String name, String events) throws Exception {
    startTargets(broken(events));
    second.script = request -> whole(events);
    Received received = receive("/stream/x", "");
    assertTrue(received.closed() && !received.complete(), name + ": " + received);
    assertEquals(events(received), List.of("e1", "e2"), name + ": " + received);
    assertEquals(second.requests.size(), 0, name);
  }

  /** A large response of another type that breaks off is not continued by a stream. */
  @Test
  public void brokenWholeResponseIsNotContinuedByAStream() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Type: text/plain\r\n";
    startTargets(
        head + "Content-Length: 900000\r\n\r\n" + "x".repeat(80_000) + ScriptedTarget.RESET);
    second.script = request -> whole(event(1));
    Received received = receive("/stream/x", "");
    assertTrue(received.closed() && !received.complete());
    assertEquals(second.requests.size(), 0);
  }

  /** A target that has nothing to add completes the stream. */
  @Test
  public void continuedStreamWithoutNewEventsIsComplete() throws Exception {
    startTargets(broken(event(1) + event(2)));
    second.script = request -> whole("");
    Received received = receive("/stream/x", "");
    assertEquals(events(received), List.of("e1", "e2"));
    assertTrue(received.complete(), received.text());
  }

  /** A target that refuses leaves the stream to the next one. */
  @Test
  public void refusalInAStreamIsRetried() throws Exception {
    startTargets(broken(event(1)));
    try (ScriptedTarget third = new ScriptedTarget()) {
      third.script = request -> whole(event(2));
      second.script = request -> addedBefore(third, REFUSAL);
      Received received = receive("/stream/x", "");
      assertEquals(events(received), List.of("e1", "e2"), received.toString());
      assertTrue(received.complete(), received.text());
    }
  }
}
