package org.clementinesail.server.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.wire.FleetCodec;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.SharedSecret;
import org.clementinesail.wire.proto.FleetUpdate;
import org.clementinesail.wire.proto.ReportImage;
import org.clementinesail.wire.proto.StatementImage;
import org.testng.annotations.Test;

/** Tests when {@link FleetPublisher} sends versions of the desired state. */
public class FleetPublisherTest {

  /**
   * Of two versions in quick succession, the second is acknowledged only after it was sent.
   * Otherwise a failure of the control VMs in between could lose an acknowledged version.
   */
  @Test
  public void versionIsAcknowledgedAfterItIsSent() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = (EventLoop) group.next();
    PeerNetwork network =
        PeerNetwork.byAddress("c", null, new SharedSecret("secret"), (vm, frame) -> {}, group);
    FleetPublisher publisher =
        new FleetPublisher(
            loop,
            network,
            new Fleet(TimeUnit.SECONDS.toNanos(5)),
            Set::of,
            () -> true,
            () -> true,
            () -> 0,
            new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream())));
    List<String> order = new CopyOnWriteArrayList<>();
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(
        () -> {
          publisher.desired(new DesiredDocument(1, new byte[0]));
          publisher.runAfterPush(() -> order.add("first acknowledged"));
          publisher.desired(new DesiredDocument(2, new byte[0]));
          publisher.runAfterPush(
              () -> {
                order.add("second acknowledged");
                done.countDown();
              });
          order.add("second accepted");
        });
    done.await();
    assertEquals(order, List.of("first acknowledged", "second accepted", "second acknowledged"));
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** News are still sent after an error in one round. */
  @Test
  public void newsAreSentAfterAnError() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = (EventLoop) group.next();
    PeerNetwork network =
        PeerNetwork.byAddress("c", null, new SharedSecret("secret"), (vm, frame) -> {}, group);
    CountDownLatch rounds = new CountDownLatch(2);
    FleetPublisher publisher =
        new FleetPublisher(
            loop,
            network,
            new Fleet(TimeUnit.SECONDS.toNanos(5)),
            () -> {
              rounds.countDown();
              throw new IllegalStateException("an error in one round");
            },
            () -> true,
            () -> true,
            () -> 0,
            new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream())));
    loop.execute(() -> publisher.onReport(EngineReport.unreachable("e", System.nanoTime()), 0));
    publisher.start();
    assertTrue(rounds.await(20, TimeUnit.SECONDS), "no second round");
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** An invalid statement or report of another VM does not lose the rest of its update. */
  @Test
  public void updateIsAppliedWithoutItsInvalidParts() throws Exception {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = (EventLoop) group.next();
    PeerNetwork network =
        PeerNetwork.byAddress("c", null, new SharedSecret("secret"), (vm, frame) -> {}, group);
    FleetPublisher publisher =
        new FleetPublisher(
            loop,
            network,
            new Fleet(TimeUnit.SECONDS.toNanos(5)),
            Set::of,
            () -> true,
            () -> true,
            () -> 0,
            new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream())));
    StatementImage sound = FleetCodec.encode(statement("t1", "10.0.0.1:80"), 0, 0);
    FleetUpdate update =
        FleetUpdate.newBuilder()
            .addStatements(sound.toBuilder().setId("odd1").setPhaseValue(17))
            .addStatements(sound.toBuilder().setId("odd2").setAddress("10.0.0.2:99999"))
            .addStatements(sound.toBuilder().setId("odd3").setLayerFrom(-5).setLayerTo(8))
            .addStatements(sound)
            .addReports(ReportImage.newBuilder().setId("t1").setLayerFrom(-5).setLayerTo(8))
            .addReports(FleetCodec.encode(EngineReport.unreachable("t1", 0), 0))
            .build();
    loop.submit(() -> publisher.onFleetUpdate(update)).sync();
    assertEquals(
        publisher.fleet().members().stream().map(m -> m.statement().id()).toList(), List.of("t1"));
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private static TargetStatement statement(String id, String address) {
    return new TargetStatement(id, "s", address, "a", 8, Phase.READY, "", null, 10, 1);
  }
}
