package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what becomes of a request when the VM that serves it for another one gets no answer. The VM
 * under test reaches no target, the serving VM reaches the first one, and a scripted VM serves
 * next.
 */
public final class ServingVmTest extends ProxyTest {

  private static final String CHUNKED = "Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Time to notice the cut and to go on at the next VM; two thirds of the route's timeout. */
  private static final long MAX_MILLIS = LONG_TIMEOUT_MS * 2L / 3;

  private MultiThreadIoEventLoopGroup servingGroup;
  private EventLoop servingLoop;
  private RoutingState servingRouting;
  private ProxyServer serving;
  private ScriptedTarget nextVm;

  /** Cuts the VM under test off, and lets it be served by the serving VM. */
  @BeforeMethod
  public void startVms() throws Exception {
    servingGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    servingLoop = (EventLoop) servingGroup.next();
    servingRouting = new RoutingState(settings(), new Random(2));
    serving =
        new ProxyServer(
            servingLoop,
            dialect(),
            new IdleEngineDialect(),
            servingRouting,
            new StartupWait(System.nanoTime() - TimeUnit.SECONDS.toNanos(1)),
            new ProxyMetrics(),
            new DecisionLog("serving", new PrintStream(PrintStream.nullOutputStream())));
    serving.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    int relayPort = UnusedPort.listen(serving::listenForPeers);
    applyDesiredState();
    nextVm = new ScriptedTarget();
    TargetStatement reached = statement(first.address());
    TargetStatement cut = statement("127.0.0.1:" + UnusedPort.find());
    servingLoop
        .submit(
            () -> {
              servingRouting.desiredState(routing.desiredState().orElseThrow());
              servingRouting.fleet().recordStatement(reached, System.nanoTime());
            })
        .sync();
    PeerVm near = new PeerVm("serving", "127.0.0.1:" + relayPort, "a");
    PeerVm far = new PeerVm("next", nextVm.address(), "b");
    loop.submit(
            () -> {
              routing.fleet().recordStatement(cut, System.nanoTime());
              proxy.peers().peers(List.of(near, far));
            })
        .sync();
    first.script = ProxyTest::identifiedResponse;
    assertEquals(status(call("POST", "/lookup/x", "Id: w1\r\n", "x")), 200, logged());
  }

  /** Stops the other VMs. */
  @AfterMethod
  public void stopVms() throws Exception {
    servingLoop.submit(serving::close).sync();
    servingGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    nextVm.close();
  }

  private static TargetStatement statement(String address) {
    return new TargetStatement("t1", "s", address, "a", 8, Phase.READY, "", null, 1, 1);
  }

  /** An order that is under way at a target when the serving VM's time is up is not sent again. */
  @Test
  public void orderIsNotRepeatedAfterTheServingVmsDeadline() throws Exception {
    Route once =
        new Route(
            "once",
            "shop",
            "/once/",
            Route.Kind.NON_IDEMPOTENT,
            300,
            100,
            1,
            List.of(new Route.Split("s", 1)),
            2,
            true,
            false,
            0);
    var checked =
        DesiredState.check(
            2,
            List.of(once),
            List.of(new Service("s", 100, null)),
            List.of(),
            RequestLimits.DEFAULT);
    DesiredState shorter = ((DesiredState.Valid) checked).state();
    servingLoop.submit(() -> servingRouting.desiredState(shorter)).sync();
    first.script = request -> ScriptedTarget.HANG;
    nextVm.script = request -> TwoVmTest.ofVm(identifiedResponse(request));
    int status = status(call("POST", "/once/x", "Id: p1\r\n", "pay"));
    assertTrue(status == 502 || status == 504, status + logged());
    assertEquals(first.requests.size(), 2);
    assertTrue(nextVm.requests.isEmpty(), logged());
  }

  private static String streamHead() {
    return EVENT_STREAM_HEAD + CHUNKED;
  }

  private static String chunks(int firstEvent, int lastEvent) {
    StringBuilder chunks = new StringBuilder();
    for (int id = firstEvent; id <= lastEvent; id++) {
      String event = ContinuedStreamTest.event(id);
      chunks
          .append(Integer.toHexString(event.length()))
          .append("\r\n")
          .append(event)
          .append("\r\n");
    }
    return chunks.toString();
  }

  /** Sends the start of an answer; from then on the target refuses connections and is silent. */
  private String silentAfter(String start) {
    try {
      first.stopListening();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return start + ScriptedTarget.HANG;
  }

  /** A stream that another VM serves goes on elsewhere when that VM is cut off, too. */
  @Test
  public void streamGoesOnWhenTheServingVmIsCutOffToo() throws Exception {
    first.script = request -> silentAfter(streamHead() + chunks(1, 2));
    nextVm.script = request -> TwoVmTest.ofVm(streamHead() + chunks(3, 4) + "0\r\n\r\n");
    Received received = receive("/stream/x", "");
    String seen = received + logged();
    assertTrue(received.complete() && received.text().contains("data: e4"), seen);
    assertEquals(received.text().split("data: e3", -1).length, 2, seen);
    assertTrue(received.millis() < MAX_MILLIS, seen);
  }

  /** A stream without an answer so far is answered elsewhere in that case. */
  @Test
  public void unansweredStreamIsServedWhenTheServingVmIsCutOffToo() throws Exception {
    first.script = request -> silentAfter("");
    nextVm.script = request -> TwoVmTest.ofVm(streamHead() + chunks(1, 2) + "0\r\n\r\n");
    Received received = receive("/stream/x", "");
    assertTrue(received.complete() && received.millis() < MAX_MILLIS, received + logged());
  }

  /** An order that may have run is not sent again: it waits for its answer up to the deadline. */
  @Test
  public void orderIsNotRepeatedWhenTheServingVmIsCutOffToo() throws Exception {
    first.script = request -> silentAfter("");
    nextVm.script = request -> TwoVmTest.ofVm(identifiedResponse(request));
    int status = status(call("POST", "/once/x", "Id: p1\r\n", "pay"));
    assertTrue(status == 502 || status == 504, status + logged());
    assertTrue(nextVm.requests.isEmpty(), logged());
  }
}
