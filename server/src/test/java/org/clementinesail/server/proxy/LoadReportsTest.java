package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.server.fleet.LoadCoordinator;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.SharedSecret;
import org.testng.annotations.Test;

/** Tests the exchange of loads between an entry VM and the leader over their connection. */
public final class LoadReportsTest {
  private static final SharedSecret SECRET = new SharedSecret("secret-of-the-tests");
  private static final FleetLoad.Waiting WAITING = new FleetLoad.Waiting("s", 2);

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final DecisionLog log =
      new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream()));
  private final RoutingState routing =
      new RoutingState(
          new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0.2, 200), new Random(1));
  private final LoadReports reports = new LoadReports(loop, routing, new ProxyMetrics(), log);
  private final AtomicReference<LoadCoordinator> coordinator = new AtomicReference<>();

  private void recordLoad() {
    routing
        .fleet()
        .recordStatement(
            new TargetStatement("t", "s", "t:1", "a", 6, Phase.READY, "", null, 1, 1),
            System.nanoTime());
    routing.ownLoad().assign("t", 0, System.nanoTime());
    routing.ownLoad().assign("t", 0, System.nanoTime());
    reports.waiting(() -> Map.of(WAITING, 4));
  }

  /** If one of the steps fails, VMs route by their own load for ever, without any error. */
  @Test
  public void loadOfAllVmsReachesTheRouting() throws Exception {
    InetSocketAddress address;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
    String leaderName = address.getAddress().getHostAddress() + ":" + address.getPort();
    try (PeerNetwork leader =
            PeerNetwork.byAddress(
                leaderName,
                address,
                SECRET,
                (vm, frame) -> coordinator.get().receive(vm, frame.getLoadReport()),
                group);
        PeerNetwork entry =
            PeerNetwork.byAddress(
                "entry",
                null,
                SECRET,
                (vm, frame) -> reports.receive(vm, frame.getLoadSummary()),
                group)) {
      coordinator.set(new LoadCoordinator(loop, leader, () -> List.of("entry"), () -> true, log));
      leader.start();
      entry.connectTo(Set.of(leaderName));
      entry.start();
      coordinator.get().start();
      loop.submit(this::recordLoad).sync();
      reports.start(entry::send, frame -> entry.peers().forEach(vm -> entry.send(vm, frame)));
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (view().reportingVms() == 0 && System.nanoTime() - deadline < 0) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
      FleetLoad load = view();
      assertEquals(load.reportingVms(), 1);
      assertEquals(load.inProgress("t"), 2);
      assertEquals(load.othersInProgress("t"), 0);
      assertEquals(load.waiting("s", 2), 4);
      assertTrue(load.isFresh(System.nanoTime()));
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private FleetLoad view() throws InterruptedException {
    Callable<FleetLoad> read = routing::fleetLoad;
    return loop.submit(read).sync().getNow();
  }
}
