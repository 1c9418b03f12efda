package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Finds events of a stream that were cut off and end with the head of another response. */
final class EventCheck {
  /** CR LF CR LF, which ends a head. */
  private static final int HEAD_END = 0x0d0a0d0a;

  private EventCheck() {}

  /**
   * Returns whether an event ends with the whole head of a response that has a request id. The text
   * of an event cannot be one, since each of its lines begins with the name of a field.
   */
  static boolean endsWithHead(Dialect dialect, ByteBuf event) {
    boolean endsLikeHead =
        event.readableBytes() >= Integer.BYTES
            && event.getInt(event.writerIndex() - Integer.BYTES) == HEAD_END;
    if (!endsLikeHead) {
      return false;
    }
    String text = event.toString(StandardCharsets.ISO_8859_1);
    int start = text.lastIndexOf(HeadScan.VERSION);
    return start >= 0
        && HeadScan.of(text, start, dialect.singularResponseHeaders())
            .filter(scan -> scan.complete() && dialect.requestId(scan.head()).isPresent())
            .isPresent();
  }
}
