package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A response that may begin within the body of another one, as far as it has been read. */
final class EmbeddedHead {
  /** Beginning of a status line. */
  static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

  private static final int STATUS_LENGTH = "HTTP/1.1 200".length();
  private static final int MAX_BYTES = 32_768;
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** Part of a status line whose reason could be that of a server. */
  private static final Pattern PLAIN_STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( [A-Za-z' -]*)?\r?");

  private enum State {
    READING,
    COMPLETE,
    /** No head, or one of a response that ends within the body or of no request sent here. */
    IRRELEVANT
  }

  private final HeadValidator validator;
  private final Predicate<HttpResponse> sentHere;
  private final HttpResponse head =
      new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, HeaderCopies.empty());
  private final StringBuilder line = new StringBuilder();
  private final long start;
  private long position;
  private long lineEnd;
  private State state = State.READING;
  private boolean bodyMatters;
  private boolean chunked;
  private long responseEnd;

  /**
   * Creates a head of which nothing has been read.
   *
   * @param start its place in the body
   * @param singularHeaders names in lower case of further headers that a response has once
   * @param sentHere returns whether a response has the id of a request of the same connection
   */
  EmbeddedHead(long start, Set<String> singularHeaders, Predicate<HttpResponse> sentHere) {
    this.start = start;
    this.position = start;
    this.lineEnd = start;
    this.validator = new HeadValidator(singularHeaders);
    this.sentHere = sentHere;
  }

  /** Reads the next bytes of the body. */
  void readBody(ByteBuf bytes) {
    bytes.forEachByte(value -> readBody((char) (value & 0xff)));
  }

  private boolean readBody(char next) {
    if (state == State.READING) {
      readHead(next);
    } else if (chunked) {
      position++;
      readChunk(next);
    }
    return state == State.READING || (chunked && state == State.COMPLETE);
  }

  /** Reads the bytes after the body as long as the head is not complete. */
  void readAfterBody(ByteBuf bytes) {
    bytes.forEachByte(
        value -> state == State.READING && readHead((char) (value & 0xff)) == State.READING);
  }

  private State readHead(char next) {
    position++;
    boolean afterReturn = !line.isEmpty() && line.charAt(line.length() - 1) == '\r';
    boolean lineFeed = next == '\n';
    if (lineFeed != afterReturn || position - start > MAX_BYTES) {
      state = State.IRRELEVANT;
    } else if (lineFeed) {
      line.setLength(line.length() - 1);
      readLine(line.toString());
      line.setLength(0);
    } else {
      line.append(next);
      boolean control = next < ' ' && next != '\t' && next != '\r';
      if (control || (line.length() == position - start && !mayBeStatusLine())) {
        state = State.IRRELEVANT;
      }
    }
    return state;
  }

  private boolean mayBeStatusLine() {
    if (line.length() > STATUS_LENGTH) {
      char afterStatus = line.charAt(STATUS_LENGTH);
      return afterStatus == ' ' || afterStatus == '\r';
    }
    Matcher status = STATUS.matcher(line);
    return status.matches() || status.hitEnd();
  }

  private void readLine(String text) {
    try {
      boolean complete = validator.acceptLine(text);
      int colon = text.indexOf(':');
      if (lineEnd > start && colon > 0) {
        head.headers().add(text.substring(0, colon), text.substring(colon + 1).strip());
      }
      lineEnd = position;
      if (complete) {
        readBodyLength();
      }
    } catch (MalformedMessageException e) {
      state = State.IRRELEVANT;
    }
  }

  private void readBodyLength() {
    state = State.COMPLETE;
    String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH, "");
    chunked = HttpUtil.isTransferEncodingChunked(head);
    bodyMatters = (chunked || length.matches("[0-9]{1,9}")) && sentHere.test(head);
    chunked &= bodyMatters;
    responseEnd = bodyMatters && !chunked ? position + Integer.parseInt(length) : position;
  }

  private void readChunk(char next) {
    line.append(next);
    if (line.length() > LAST_CHUNK.length()) {
      line.deleteCharAt(0);
    }
    if (line.indexOf(LAST_CHUNK) >= 0) {
      state = State.IRRELEVANT;
    }
  }

  /**
   * Returns whether the response may go on after a place in the body.
   *
   * @param place the number of bytes of the body read so far
   */
  boolean mayGoOnAfter(long place) {
    return state == State.READING
        || (state == State.COMPLETE && bodyMatters && (chunked || responseEnd > place));
  }

  /**
   * Returns whether the response has gone on after the body, of which more bytes have been read.
   *
   * @param bodyEnd length of the body
   */
  boolean overlaps(long bodyEnd) {
    if (state == State.IRRELEVANT) {
      return false;
    }
    boolean statusOverlaps =
        lineEnd == start && position - start >= STATUS_LENGTH && start + STATUS_LENGTH > bodyEnd;
    return lineEnd > bodyEnd
        || statusOverlaps
        || (state == State.COMPLETE && mayGoOnAfter(bodyEnd));
  }

  /** Returns whether so much of a head has been read that the rest is worth a wait. */
  boolean isLikely() {
    return lineEnd > start
        || (line.length() > HeadScan.VERSION.length() && isPlainStatusLine())
        || line.toString().equals(HeadScan.VERSION);
  }

  private boolean isPlainStatusLine() {
    Matcher plain = PLAIN_STATUS_LINE.matcher(line);
    return plain.matches() || plain.hitEnd();
  }
}
