package org.clementinesail.server.proxy;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.clementinesail.core.desired.RequestLimits;

/** Admits new connections of callers or of other VMs, and sets up their handlers. */
final class CallerChannels extends ChannelInitializer<SocketChannel> {
  private static final int MAX_REQUEST_LINE_BYTES = 16_384;

  /** Room for the headers that another VM adds to a request that its caller's port has accepted. */
  private static final int MAX_ADDED_HEADER_BYTES = 1_024;

  private final ProxyContext context;
  private final ConnectionLimit limit;
  private final BooleanSupplier reachesTargets;
  private final Supplier<CallerConnection> connections;

  /**
   * Creates an initializer.
   *
   * @param context objects for the requests of the connections
   * @param limit closes new connections if there are too many
   * @param reachesTargets answers the questions of other VMs for a sign of life
   * @param connections creates the last handler of a connection
   */
  CallerChannels(
      ProxyContext context,
      ConnectionLimit limit,
      BooleanSupplier reachesTargets,
      Supplier<CallerConnection> connections) {
    this.context = context;
    this.limit = limit;
    this.reachesTargets = reachesTargets;
    this.connections = connections;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    if (!limit.admit(channel)) {
      return;
    }
    int added = context.relayed() ? MAX_ADDED_HEADER_BYTES : 0;
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(RequestLimits.DEFAULT.maxHeaderBytes() + added)
            .setValidateHeaders(false);
    CallerConnection connection = connections.get();
    channel.pipeline().addLast(connection.memory());
    channel.pipeline().addLast(new HttpServerCodec(config));
    channel.pipeline().addLast(new RequestHeadCheck());
    if (context.relayed()) {
      channel.pipeline().addLast(new SignOfLife(reachesTargets));
    }
    channel.pipeline().addLast(connection);
  }
}
