package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;

/**
 * Finds a response that begins within the body of another one and goes on after its end: the body
 * was truncated, and the next response fills it. A body may contain whole responses as its text.
 * The body is read as it comes; only the lines of heads in it are kept.
 *
 * <pre>{@code
 * check.readBody(part);
 * Verdict verdict = check.judge(bytesAfterTheBody);
 * }</pre>
 */
final class OverlapCheck {
  /** Most responses that are followed at the same time; the earliest is given up. */
  private static final int MAX_HEADS = 16;

  private static final int STATUS_LENGTH = "HTTP/1.1 200".length();
  private static final byte FIRST_BYTE = (byte) HeadScan.VERSION.charAt(0);

  /** What the bytes so far say about the body. */
  enum Verdict {
    /** Nothing shows that another response filled it. */
    WHOLE,
    /** Another response filled it. */
    FILLED,
    /** Further bytes may show that another response filled it. */
    OPEN
  }

  private final Set<String> singularHeaders;
  private final Predicate<HttpResponse> sentHere;
  private final Deque<EmbeddedHead> heads = new ArrayDeque<>(0);
  private long bodyBytes;
  private int bytesAfter;

  /**
   * Creates a check of one body.
   *
   * @param singularHeaders names in lower case of further headers that a response has once
   * @param sentHere returns whether a response has the id of a request of the same connection
   */
  OverlapCheck(Set<String> singularHeaders, Predicate<HttpResponse> sentHere) {
    this.singularHeaders = singularHeaders;
    this.sentHere = sentHere;
  }

  /** Reads the next part of the body. */
  void readBody(ByteBuf part) {
    heads.forEach(head -> head.readBody(part));
    int begin = part.readerIndex();
    int end = part.writerIndex();
    for (int at = part.indexOf(begin, end, FIRST_BYTE);
        at >= 0;
        at = part.indexOf(at + 1, end, FIRST_BYTE)) {
      if (mayBeHead(part, at)) {
        EmbeddedHead head = new EmbeddedHead(bodyBytes + at - begin, singularHeaders, sentHere);
        head.readBody(part.slice(at, end - at));
        add(head, bodyBytes + end - begin);
      }
    }
    bodyBytes += end - begin;
    heads.removeIf(head -> !head.mayGoOnAfter(bodyBytes));
  }

  private static boolean mayBeHead(ByteBuf part, int at) {
    int length = Math.min(HeadScan.VERSION.length(), part.writerIndex() - at);
    for (int i = 1; i < length; i++) {
      if (part.getByte(at + i) != HeadScan.VERSION.charAt(i)) {
        return false;
      }
    }
    Matcher status = status(part, at);
    return status.lookingAt() || status.hitEnd();
  }

  private static Matcher status(ByteBuf bytes, int at) {
    int length = Math.min(STATUS_LENGTH, bytes.writerIndex() - at);
    return EmbeddedHead.STATUS.matcher(bytes.toString(at, length, StandardCharsets.ISO_8859_1));
  }

  private void add(EmbeddedHead head, long place) {
    if (head.mayGoOnAfter(place)) {
      heads.addLast(head);
    }
    if (heads.size() > MAX_HEADS) {
      heads.removeFirst();
    }
  }

  /**
   * Judges the whole body.
   *
   * @param after all bytes received after the body so far
   */
  Verdict judge(ByteBuf after) {
    if (heads.isEmpty()) {
      return Verdict.WHOLE;
    }
    Matcher status = status(after, after.readerIndex());
    if (status.lookingAt()) {
      // The additional bytes are a response from its beginning.
      return Verdict.WHOLE;
    }
    return status.hitEnd() ? Verdict.OPEN : judgeContinuation(after);
  }

  private Verdict judgeContinuation(ByteBuf after) {
    int from = after.readerIndex() + bytesAfter;
    ByteBuf unread = after.slice(from, after.writerIndex() - from);
    heads.forEach(head -> head.readAfterBody(unread));
    bytesAfter = after.readableBytes();
    if (heads.stream().anyMatch(head -> head.overlaps(bodyBytes))) {
      return Verdict.FILLED;
    }
    heads.removeIf(head -> !head.mayGoOnAfter(bodyBytes));
    return heads.isEmpty() ? Verdict.WHOLE : Verdict.OPEN;
  }

  /** Returns whether the body ends so much like a response that the rest is worth a wait. */
  boolean endsLikeResponse() {
    return heads.stream().anyMatch(EmbeddedHead::isLikely);
  }
}
