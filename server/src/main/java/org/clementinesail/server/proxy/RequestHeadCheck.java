package org.clementinesail.server.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Map;

/**
 * Marks requests whose head a target could read in another way as unreadable: a name that is no
 * token, or a control character that is taken for a line end.
 */
final class RequestHeadCheck extends ChannelInboundHandlerAdapter {
  private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~";
  private static final int DELETE = 0x7f;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
      try {
        check(request);
      } catch (MalformedMessageException e) {
        request.setDecoderResult(DecoderResult.failure(e));
      }
    }
    context.fireChannelRead(message);
  }

  private static void check(HttpRequest request) throws MalformedMessageException {
    if (hasControlCharacter(request.uri(), false)) {
      throw new MalformedMessageException("request target contains a control character");
    }
    for (Map.Entry<String, String> header : request.headers()) {
      if (!isToken(header.getKey())) {
        throw new MalformedMessageException("invalid header name");
      }
      if (hasControlCharacter(header.getValue(), true)) {
        throw new MalformedMessageException("header value contains a control character");
      }
    }
  }

  private static boolean hasControlCharacter(String text, boolean tabAllowed) {
    for (int i = 0; i < text.length(); i++) {
      char next = text.charAt(i);
      if ((next < ' ' || next == DELETE) && !(tabAllowed && next == '\t')) {
        return true;
      }
    }
    return false;
  }

  private static boolean isToken(String name) {
    for (int i = 0; i < name.length(); i++) {
      char next = name.charAt(i);
      boolean letter = (next >= 'a' && next <= 'z') || (next >= 'A' && next <= 'Z');
      boolean digit = next >= '0' && next <= '9';
      if (!letter && !digit && TOKEN_CHARACTERS.indexOf(next) < 0) {
        return false;
      }
    }
    return !name.isEmpty();
  }
}
