package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Splits a server-sent event stream into complete events, so that an interrupted stream can
 * continue on another target without sending part of an event twice.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();
  private final BiConsumer<ByteBuf, @Nullable String> onEvent;

  /** Creates a splitter that passes each complete event on with its id, or null without one. */
  EventSplitter(BiConsumer<ByteBuf, @Nullable String> onEvent) {
    this.onEvent = onEvent;
  }

  /** Adds bytes; returns how many events they completed. */
  int feed(ByteBuf bytes) {
    int events = 0;
    pending.discardSomeReadBytes();
    pending.writeBytes(bytes);
    int end = endOfEvent();
    while (end >= 0) {
      ByteBuf event = pending.readSlice(end - pending.readerIndex());
      onEvent.accept(event, eventId(event));
      events++;
      end = endOfEvent();
    }
    return events;
  }

  /** Returns the bytes after the last complete event. */
  ByteBuf incompleteEvent() {
    return pending;
  }

  /** Discards the bytes after the last complete event. */
  void reset() {
    pending.clear();
  }

  /** Returns the index after the next empty line, or -1 if there is none yet. */
  private int endOfEvent() {
    int from = pending.readerIndex();
    int end = pending.writerIndex();
    int lineStart = from;
    for (int i = from; i < end; i++) {
      if (pending.getByte(i) != '\n') {
        continue;
      }
      int length = i - lineStart;
      boolean empty = length == 0 || (length == 1 && pending.getByte(lineStart) == '\r');
      if (empty && i > from) {
        return i + 1;
      }
      lineStart = i + 1;
    }
    return -1;
  }

  private static @Nullable String eventId(ByteBuf event) {
    String text = event.toString(StandardCharsets.UTF_8);
    int at = 0;
    while (at < text.length()) {
      int end = text.indexOf('\n', at);
      if (end < 0) {
        end = text.length();
      }
      if (text.startsWith(ID_FIELD, at)) {
        return text.substring(at + ID_FIELD.length(), end).strip();
      }
      at = end + 1;
    }
    return null;
  }
}
