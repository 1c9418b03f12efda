package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests where events end, however their bytes are divided into reads. */
public final class EventSplitterTest {
  /** Streams, their events, and whether they end within an event. */
  @DataProvider
  public Object[][] streams() {
    return new Object[][] {
      {"LF", "id: 1\ndata: a\n\nid: 2\n\n", List.of("id: 1\ndata: a\n\n", "id: 2\n\n"), false},
      {"CRLF", "id: 1\r\n\r\nid: 2\r\n\r\n", List.of("id: 1\r\n\r\n", "id: 2\r\n\r\n"), false},
      {"CR", "id: 1\rdata: a\r\rid: 2\r\r", List.of("id: 1\rdata: a\r\r", "id: 2\r\r"), false},
      {"CR for the empty line", "id: 1\n\rid: 2\n\n", List.of("id: 1\n\r", "id: 2\n\n"), false},
      {
        "mixed",
        "id: 1\r\ndata: a\n\r\nid: 2\r\n\n",
        List.of("id: 1\r\ndata: a\n\r\n", "id: 2\r\n\n"),
        false
      },
      {"empty lines first", "\n\r\nid: 1\n\n", List.of("\n\r\nid: 1\n\n"), false},
      {"empty lines last", "id: 1\n\n\n\r\n", List.of("id: 1\n\n"), false},
      {"comment", ": a\n\nid: 1\n\n", List.of(": a\n\n", "id: 1\n\n"), false},
      {"cut in CRLF", "id: 1\r\n\r", List.of(), true},
      {"cut after a line", "id: 1\r", List.of(), true},
      {"cut in a character", "id: 1\n\ndata: \u00c3", List.of("id: 1\n\n"), true},
      {"nothing", "", List.of(), false},
    };
  }

  /** Any division into two reads, and single bytes, give the same events. */
  @Test(dataProvider = "streams")
  public void eventsDoNotDependOnReads(
      String name, String stream, List<String> events, boolean within) {
    for (int cut = 0; cut <= stream.length(); cut++) {
      check(
          name + ", cut at " + cut,
          events,
          within,
          stream.substring(0, cut),
          stream.substring(cut));
    }
    check(name + ", bytes", events, within, stream.split(""));
  }

  private static void check(String name, List<String> events, boolean within, String... reads) {
    List<String> seen = new ArrayList<>();
    EventSplitter splitter =
        new EventSplitter(event -> seen.add(event.bytes().toString(StandardCharsets.ISO_8859_1)));
    for (String read : reads) {
      splitter.feed(Unpooled.copiedBuffer(read, StandardCharsets.ISO_8859_1));
    }
    assertEquals(seen, events, name);
    assertEquals(splitter.withinEvent(), within, name);
  }

  /** Blocks and the ids of their events; "comment" if there are only comments. */
  @DataProvider
  public Object[][] ids() {
    return new Object[][] {
      {"id: 7\ndata: a\n\n", "7"},
      {"data: a\r\nid:7\r\n\r\n", "7"},
      {"data: a\rid: 7\r\r", "7"},
      {"\uFEFFid: 7\n\n", "7"},
      {"id: 1\nid: 2\n\n", "2"},
      {"id\ndata: a\n\n", null},
      {"id:\ndata: a\n\n", null},
      {"data: id: 7\n\n", null},
      {"ids: 7\n\n", null},
      {": id: 7\n\n", "comment"},
      {":\n: b\n\n", "comment"},
      {": a\ndata\n\n", null},
    };
  }

  /** The last id field of an event counts, whatever ends its lines. */
  @Test(dataProvider = "ids")
  public void idIsThatOfTheLastField(String block, String id) {
    List<String> seen = new ArrayList<>();
    new EventSplitter(event -> seen.add(event.comment() ? "comment" : event.id()))
        .feed(Unpooled.copiedBuffer(block, StandardCharsets.UTF_8));
    assertEquals(seen.size(), 1);
    assertEquals(seen.get(0), id);
  }
}
