package org.clementinesail.server.proxy;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.reachability.PeerPicker;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that what cannot be written to a caller ends the connection. */
public final class CallerConnectionTest extends ProxyTest {
  private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
  private CallerConnection connection;
  private EmbeddedChannel channel;

  /** Opens a connection without a network. */
  @BeforeMethod(dependsOnMethods = "start")
  public void open() {
    lines.reset();
    PrintStream out = new PrintStream(lines, true, StandardCharsets.UTF_8);
    DecisionLog log = new DecisionLog("test", out);
    ShortHeaderDialect dialect = dialect();
    TargetPool pool = new TargetPool(loop, dialect, log);
    ListenerCheck listenerCheck = new ListenerCheck(loop, ListenerCheck.CONNECT_TIMEOUT_MS);
    ReachabilityChecks checks = new ReachabilityChecks(routing, loop, log);
    FaultDetector faults =
        new FaultDetector(
            routing, new EngineProbe(loop, pool, dialect), listenerCheck, checks, log);
    PeerPicker peers = new PeerPicker("a", new Random(1));
    ProxyContext context =
        new ProxyContext(
            loop,
            dialect,
            routing,
            pool,
            faults,
            new CrashReports(loop, faults, routing, log),
            new RateLimitReports(loop, routing, checks, log),
            new PeerRelay(peers, checks, new PeerWatch(loop, peers, log)),
            false,
            new BufferLimit(),
            new StartupWait(System.nanoTime()),
            new ProxyMetrics(),
            log);
    connection = new CallerConnection(context, proxy);
    channel = new EmbeddedChannel(new HttpServerCodec(), connection);
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private String written() {
    StringBuilder text = new StringBuilder();
    for (Object part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(((ByteBuf) part).toString(StandardCharsets.US_ASCII));
    }
    return text.toString();
  }

  private void assertBrokenOff() throws InterruptedException {
    channel.runPendingTasks();
    assertFalse(channel.isOpen());
    for (int i = 0; i < 100 && lines.size() == 0; i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    String logged = lines.toString(StandardCharsets.UTF_8);
    assertTrue(logged.contains("response broken off"), logged);
  }

  private void beginResponse() {
    connection.begin(HttpResponseStatus.OK, HeaderCopies.empty());
    connection.writePart(bytes("event"));
    connection.flush();
  }

  /** A whole response within another one ends the connection, and nothing of it is written. */
  @Test
  public void wholeResponseWithinAResponseEndsTheConnection() throws Exception {
    beginResponse();
    HttpResponseStatus status = HttpResponseStatus.INTERNAL_SERVER_ERROR;
    connection.sendResponse(status, HeaderCopies.empty(), bytes("evil"));
    String text = written();
    assertFalse(text.contains("evil") || text.contains("500"), text);
    assertBrokenOff();
  }

  /** A second head ends the connection. */
  @Test
  public void secondHeadEndsTheConnection() throws Exception {
    beginResponse();
    connection.begin(HttpResponseStatus.OK, HeaderCopies.empty());
    assertBrokenOff();
  }

  /** A part that the pipeline refuses ends the connection. */
  @Test
  public void failedWriteEndsTheConnection() throws Exception {
    beginResponse();
    channel
        .pipeline()
        .addBefore(
            channel.pipeline().context(connection).name(), "refusing", new RefusingHandler());
    connection.writePart(bytes("event"));
    connection.flush();
    assertBrokenOff();
  }

  /** A response whose end has not been sent yet is not cut off as idle. */
  @Test
  public void responseThatIsNotSentYetIsNotIdle() throws Exception {
    SlowHandler slow = new SlowHandler();
    channel.pipeline().addFirst(slow);
    beginResponse();
    connection.endResponse();
    long later = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    connection.closeIfIdle(later, TimeUnit.SECONDS.toNanos(1));
    TimeUnit.MILLISECONDS.sleep(100);
    assertTrue(channel.isOpen());
    slow.unsent.forEach(ChannelPromise::setSuccess);
    connection.closeIfIdle(later, TimeUnit.SECONDS.toNanos(1));
    for (int i = 0; i < 100 && channel.isOpen(); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertFalse(channel.isOpen());
  }

  /** Keeps all writes unsent. */
  private static final class SlowHandler extends ChannelOutboundHandlerAdapter {
    final List<ChannelPromise> unsent = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      unsent.add(promise);
    }
  }

  /** Fails all writes of parts. */
  private static final class RefusingHandler extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      assertTrue(message instanceof HttpContent);
      ReferenceCountUtil.release(message);
      promise.setFailure(new IllegalStateException("refused"));
    }
  }
}
