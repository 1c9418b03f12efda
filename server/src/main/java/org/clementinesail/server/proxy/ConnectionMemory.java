package org.clementinesail.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Counts what a connection of a caller holds besides its requests: the beginning of a head in the
 * decoder, and responses that the caller does not read. Stands before the decoder.
 */
final class ConnectionMemory extends ChannelInboundHandlerAdapter implements BufferLimit.Holder {
  /** Longer than a sound caller pauses, and short beside the idle timeout. */
  private static final long UNREAD_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final BufferLimit.Reservation reservation;
  private final CallerConnection connection;
  private int undecodedBytes;
  private int unsentWrites;
  private boolean updateScheduled;

  /** When a write last ended, or the first of those that have not ended began. */
  private long writtenAt = System.nanoTime();

  /**
   * Creates a handler for one connection.
   *
   * @param limit limit of all connections
   * @param connection is ended if there is no memory for what it holds
   */
  ConnectionMemory(BufferLimit limit, CallerConnection connection) {
    this.reservation = limit.reservation(this);
    this.connection = connection;
  }

  @Override
  public boolean mayBeEnded() {
    return connection.mayBeClosed();
  }

  @Override
  public void end() {
    release();
    connection.close();
  }

  /** Records that a part of a response is being written. */
  void writeBegun() {
    writtenAt = unsentWrites == 0 ? System.nanoTime() : writtenAt;
    unsentWrites++;
  }

  /** Records that a write has ended or failed. */
  void writeEnded(@Nullable Channel channel) {
    unsentWrites--;
    writtenAt = System.nanoTime();
    if (channel == null) {
      return;
    }
    if (!channel.isOpen()) {
      release();
    } else if (!updateScheduled) {
      // Netty completes a write before it subtracts its bytes from the unsent ones.
      updateScheduled = true;
      channel.eventLoop().execute(() -> updateLater(channel));
    }
  }

  private void updateLater(Channel channel) {
    updateScheduled = false;
    update(channel);
  }

  boolean hasUnsent() {
    return unsentWrites > 0;
  }

  /** Returns whether the caller does not read a response, as it has taken no part of it lately. */
  boolean isUnread(long now) {
    return isUnreadFor(now, UNREAD_NANOS);
  }

  /** Returns whether the caller has taken no part of a response for longer than the given time. */
  boolean isUnreadFor(long now, long nanos) {
    return hasUnsent() && now - writtenAt > nanos;
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
    int size = (int) Math.min(Integer.MAX_VALUE, undecodedBytes + unsentBytes);
    if (!channel.isOpen()) {
      release();
    } else if (undecodedBytes == 0 || unsentBytes > 0 || hasUnsent() || connection.hasExchange()) {
      // A refusal would cut off a response, or follow one without a request.
      reservation.hold(size);
    } else if (!reservation.resize(size)) {
      connection.refuseForMemory();
    }
  }

  void release() {
    reservation.release();
  }
}
