package org.clementinesail.server.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose other side may still be sending. Closing it at once would reset it, and
 * the other side might lose the last response (RFC 9112, section 9.6).
 */
final class LingeringClose implements ChannelFutureListener {
  private static final long MAX_LINGER_MS = 1_000;

  @Override
  public void operationComplete(ChannelFuture written) {
    Channel channel = written.channel();
    if (written.isSuccess() && channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
      channel.eventLoop().schedule(() -> channel.close(), MAX_LINGER_MS, TimeUnit.MILLISECONDS);
    } else {
      channel.close();
    }
  }
}
