package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Splits a server-sent event stream into complete events, so that an interrupted stream can
 * continue on another target without sending part of an event twice.
 *
 * <p>Lines end with CR LF, LF or CR, and an event ends with an empty line, as in the WHATWG
 * specification of server-sent events.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id";
  private static final char BYTE_ORDER_MARK = '\uFEFF';

  /**
   * A complete event, or a block of comments only.
   *
   * @param bytes the event with its empty line, and empty lines before it
   * @param id its id, or null without one
   * @param comment whether it has only comments, which are no event for the caller
   */
  record Event(ByteBuf bytes, @Nullable String id, boolean comment) {}

  private final ByteBuf pending = Unpooled.buffer();
  private final Consumer<Event> onEvent;

  /** Number of pending bytes that have been looked at. */
  private int scanned;

  private int lineLength;
  private boolean hasLines;
  private boolean afterCr;
  private boolean lastLineEndedWithCr;

  /** An empty line has ended with CR after a line that ended with LF: its LF may be to come. */
  private boolean awaitingLf;

  private boolean firstEvent = true;

  /** Creates a splitter that passes on each complete event. */
  EventSplitter(Consumer<Event> onEvent) {
    this.onEvent = onEvent;
  }

  /** Adds bytes; returns how many events they completed. */
  int feed(ByteBuf bytes) {
    int events = 0;
    pending.discardSomeReadBytes();
    pending.writeBytes(bytes);
    int length = nextEventLength();
    while (length >= 0) {
      ByteBuf event = pending.readSlice(length);
      scanned = 0;
      lineLength = 0;
      hasLines = false;
      awaitingLf = false;
      onEvent.accept(parse(event));
      events++;
      length = nextEventLength();
    }
    return events;
  }

  /** Returns whether the bytes so far end within an event. */
  boolean withinEvent() {
    return hasLines || lineLength > 0;
  }

  /** Returns the bytes after the last complete event. */
  ByteBuf rest() {
    return pending;
  }

  /** Returns the length of the next event, or -1 if it is not complete yet. */
  private int nextEventLength() {
    int available = pending.readableBytes();
    while (scanned < available) {
      byte next = pending.getByte(pending.readerIndex() + scanned);
      if (awaitingLf && next != '\n') {
        return scanned;
      }
      scanned++;
      if (endsEvent(next)) {
        return scanned;
      }
    }
    return -1;
  }

  private boolean endsEvent(byte next) {
    boolean secondHalfOfLineEnd = next == '\n' && afterCr;
    afterCr = next == '\r';
    if (secondHalfOfLineEnd) {
      lastLineEndedWithCr = false;
      return awaitingLf;
    }
    if (next != '\r' && next != '\n') {
      lineLength++;
      return false;
    }
    boolean emptyLineAfterEvent = lineLength == 0 && hasLines;
    hasLines |= lineLength > 0;
    lineLength = 0;
    awaitingLf = emptyLineAfterEvent && next == '\r' && !lastLineEndedWithCr;
    lastLineEndedWithCr = next == '\r';
    return emptyLineAfterEvent && !awaitingLf;
  }

  private Event parse(ByteBuf bytes) {
    String text = bytes.toString(StandardCharsets.UTF_8);
    int at = firstEvent && text.charAt(0) == BYTE_ORDER_MARK ? 1 : 0;
    firstEvent = false;
    String id = null;
    boolean comment = true;
    while (at < text.length()) {
      int end = lineEnd(text, at);
      if (end > at && text.charAt(at) != ':') {
        comment = false;
        int colon = text.indexOf(':', at);
        boolean named = colon >= 0 && colon < end;
        if (text.substring(at, named ? colon : end).equals(ID_FIELD)) {
          id = named ? text.substring(colon + 1, end).strip() : "";
        }
      }
      at = end + 1;
    }
    return new Event(bytes, id == null || id.isEmpty() ? null : id, comment);
  }

  private static int lineEnd(String text, int from) {
    for (int i = from; i < text.length(); i++) {
      if (text.charAt(i) == '\n' || text.charAt(i) == '\r') {
        return i;
      }
    }
    return text.length();
  }
}
