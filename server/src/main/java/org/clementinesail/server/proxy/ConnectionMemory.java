package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Counts what a connection of a caller holds besides its requests: the beginning of a head in the
 * decoder, and responses that the caller does not read. Stands before the decoder.
 */
final class ConnectionMemory extends ChannelInboundHandlerAdapter {
  private final BufferLimit.Reservation reservation;
  private final Runnable noMemory;
  private int undecodedBytes;

  /**
   * Creates a handler for one connection.
   *
   * @param limit limit of all connections
   * @param holder ends the connection
   * @param noMemory is run if there is no memory for what the connection holds
   */
  ConnectionMemory(BufferLimit limit, BufferLimit.Holder holder, Runnable noMemory) {
    this.reservation = limit.reservation(holder);
    this.noMemory = noMemory;
  }

  /** Records that the decoder has passed on all that it held. */
  void decoded() {
    undecodedBytes = 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    undecodedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    // The decoder runs within this call.
    context.fireChannelRead(message);
    update(context.channel());
  }

  /** Counts the bytes anew, after a write or its end. */
  void update(Channel channel) {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    long unsentBytes = unsent == null ? 0 : unsent.totalPendingWriteBytes();
    if (!channel.isOpen()) {
      release();
    } else if (!reservation.resize(
        (int) Math.min(Integer.MAX_VALUE, undecodedBytes + unsentBytes))) {
      noMemory.run();
    }
  }

  void release() {
    reservation.release();
  }
}
