package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

/** Decodes responses with exact heads only, and tells how many bytes belong to none so far. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEAD_BYTES = 32_768;

  private final Set<String> singularHeaders;
  private final IntPredicate acceptsBytes;
  private final Predicate<HttpResponse> hasNoBody;
  private HeadValidator validator;
  private boolean held;
  private boolean awaitingHead = true;
  private int checkedBytes;
  private int lineStart;

  /**
   * Creates a decoder for one connection.
   *
   * @param singularHeaders names in lower case of further headers that a response has once
   * @param acceptsBytes receives the number of bytes of each read; the bytes are dropped if false
   * @param hasNoBody returns whether a response ends with its head, as that to HEAD does
   */
  ResponseDecoder(
      Set<String> singularHeaders, IntPredicate acceptsBytes, Predicate<HttpResponse> hasNoBody) {
    super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setValidateHeaders(false));
    this.singularHeaders = singularHeaders;
    this.acceptsBytes = acceptsBytes;
    this.hasNoBody = hasNoBody;
    this.validator = new HeadValidator(singularHeaders);
  }

  /** Returns the number of bytes received that are not decoded yet. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /** Returns the bytes received that are not decoded yet, as they are until the next read. */
  ByteBuf undecoded() {
    return internalBuffer();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes && !acceptsBytes.test(bytes.readableBytes())) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.channelRead(context, message);
  }

  /** Stops decoding, so that further bytes are only kept, or goes on with it. */
  void hold(boolean held) {
    this.held = held;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (held) {
      return;
    }
    try {
      if (awaitingHead && !checkHead(buffer)) {
        return;
      }
    } catch (MalformedMessageException e) {
      HttpMessage invalid = createInvalidMessage();
      invalid.setDecoderResult(DecoderResult.failure(e));
      buffer.skipBytes(buffer.readableBytes());
      out.add(invalid);
      return;
    }
    awaitingHead = false;
    super.decode(context, buffer, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      awaitingHead = true;
      validator = new HeadValidator(singularHeaders);
    }
  }

  /** Checks the lines received so far and returns whether the head is complete. */
  private boolean checkHead(ByteBuf buffer) throws MalformedMessageException {
    int start = buffer.readerIndex();
    for (; checkedBytes < buffer.readableBytes(); checkedBytes++) {
      int index = start + checkedBytes;
      boolean lineFeed = buffer.getByte(index) == HttpConstants.LF;
      boolean afterReturn =
          checkedBytes > lineStart && buffer.getByte(index - 1) == HttpConstants.CR;
      if (lineFeed != afterReturn) {
        throw new MalformedMessageException("line end is not CR LF");
      }
      if (lineFeed && checkLine(buffer, start + lineStart, index - 1)) {
        checkedBytes = 0;
        lineStart = 0;
        return true;
      }
    }
    if (checkedBytes > MAX_HEAD_BYTES) {
      throw new MalformedMessageException("head is too long");
    }
    return false;
  }

  private boolean checkLine(ByteBuf buffer, int from, int to) throws MalformedMessageException {
    lineStart = checkedBytes + 1;
    return validator.acceptLine(buffer.toString(from, to - from, StandardCharsets.ISO_8859_1));
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return (message instanceof HttpResponse response && hasNoBody.test(response))
        || super.isContentAlwaysEmpty(message);
  }
}
