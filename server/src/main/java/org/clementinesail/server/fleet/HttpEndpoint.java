package org.clementinesail.server.fleet;

import com.google.common.base.Ascii;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.core.limits.ClientLimits;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.BufferLimit;
import org.clementinesail.server.proxy.ConnectionLimit;
import org.clementinesail.server.proxy.LimitReports;
import org.clementinesail.server.proxy.ProxyMetrics;

/**
 * Minimal HTTP server without streaming: requests and responses are complete messages.
 *
 * <pre>{@code
 * HttpEndpoint.listen(
 *     loop,
 *     address,
 *     65_536,
 *     log,
 *     (request, reply) -> reply.accept(HttpEndpoint.text(200, "x", "ok")));
 * }</pre>
 */
public final class HttpEndpoint {
  /** Longest logged text of a caller; it may be of any length. */
  private static final int MAX_LOGGED_CHARS = 200;

  /** Time for the first call; its clients connect only when they have one to make. */
  private static final long FIRST_CALL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private HttpEndpoint() {}

  /** Handles requests on the event loop; may respond later. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Handles a request. If it throws before it has responded, the response is status 500.
     *
     * @param request the request, released after this method returns
     * @param reply sends the response; called once, from any thread
     */
    void handle(FullHttpRequest request, Consumer<FullHttpResponse> reply);
  }

  /**
   * Starts a server.
   *
   * @param loop event loop for all connections
   * @param address address and port to listen on
   * @param maxBodyBytes longest request body; a longer one is answered with status 413
   * @param log receives a line for each request that cannot be parsed or that the handler fails on
   * @param handler handles the requests
   * @return the listening channel
   */
  public static Channel listen(
      EventLoop loop,
      InetSocketAddress address,
      int maxBodyBytes,
      DecisionLog log,
      Handler handler) {
    ClientLimits limits = ClientLimits.ofMachine(Runtime.getRuntime().maxMemory(), 0, 0);
    return listen(loop, address, maxBodyBytes, log, limits, handler);
  }

  /**
   * Starts a server with limits of what all clients together may hold.
   *
   * @param loop event loop for all connections
   * @param address address and port to listen on
   * @param maxBodyBytes longest request body; a longer one is answered with status 413
   * @param log receives a line for each request that cannot be parsed or that the handler fails on,
   *     and lines about clients at the limits
   * @param limits memory and connections of all clients together
   * @param handler handles the requests
   * @return the listening channel
   */
  public static Channel listen(
      EventLoop loop,
      InetSocketAddress address,
      int maxBodyBytes,
      DecisionLog log,
      ClientLimits limits,
      Handler handler) {
    LimitReports reports = new LimitReports(new ProxyMetrics(), log);
    BufferLimit memory =
        new BufferLimit(
            limits.memoryBytes(), (held, max) -> reports.record("api_memory", held, max));
    ConnectionLimit connections =
        new ConnectionLimit(
            "api_connections", limits.connections(), reports, () -> false, () -> FIRST_CALL_NANOS);
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                if (!connections.admit(channel)) {
                  return;
                }
                CallMemory calls = new CallMemory(memory, maxBodyBytes);
                channel.pipeline().addLast(new HttpServerCodec());
                channel.pipeline().addLast(calls);
                channel.pipeline().addLast(new CallAggregator(maxBodyBytes));
                channel
                    .pipeline()
                    .addLast(new EndpointConnection(loop, log, handler, calls::allAnswered));
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  /**
   * Returns a response with a text body.
   *
   * @param status HTTP status
   * @param contentType value of the Content-Type header
   * @param body text of the body, sent in UTF-8
   */
  public static FullHttpResponse text(int status, String contentType, String body) {
    return bytes(status, contentType, body.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns a response.
   *
   * @param status HTTP status
   * @param contentType value of the Content-Type header
   * @param body bytes of the body, not copied
   */
  public static FullHttpResponse bytes(int status, String contentType, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    return response;
  }

  /** Shortens a text of a caller, which may be of any length, for a line of the log. */
  static String loggable(String text) {
    return Ascii.truncate(text, MAX_LOGGED_CHARS, "...");
  }
}
