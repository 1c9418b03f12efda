package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which engine of a path becomes suspect, and after which pause of the response. */
public final class FaultDetectorTest {
  // A response is stalled after 60 ms plus 1.5 times the usual pause, which is 105 ms here.
  private static final long USUAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
  private static final long SHORT_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long LONG_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(110);

  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private RoutingState routing;
  private FaultDetector faults;
  private ScriptedTarget first;
  private ScriptedTarget second;
  private List<Hop> path;

  /** Starts two engines that send reports, and plans a path through both. */
  @BeforeMethod
  public void start() throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    RoutingState.Settings settings =
        new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0.2, 200);
    routing = new RoutingState(settings, new Random(1));
    DecisionLog log = new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream()));
    TargetPool pool = new TargetPool(loop, new ShortHeaderDialect(), log);
    ListenerCheck listenerCheck = new ListenerCheck(loop, ListenerCheck.CONNECT_TIMEOUT_MS);
    faults =
        new FaultDetector(
            routing,
            new EngineProbe(loop, pool, new IdleEngineDialect()),
            listenerCheck,
            new ReachabilityChecks(routing, loop, log),
            log);
    first = new ScriptedTarget();
    second = new ScriptedTarget();
    first.script = request -> IdleEngineDialect.REPORT_RESPONSE;
    second.script = request -> IdleEngineDialect.REPORT_RESPONSE;
    path =
        List.of(
            new Hop("e1", first.address(), "a", new LayerRange(0, 40)),
            new Hop("e2", second.address(), "a", new LayerRange(40, 80)));
    for (Hop hop : path) {
      TargetStatement statement =
          new TargetStatement(
              hop.id(), "lm", hop.address(), "a", 8, Phase.READY, "l4", hop.layers(), 1, 1);
      routing.fleet().recordStatement(statement, System.nanoTime());
    }
  }

  /** Stops the engines and the event loop. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    first.close();
    second.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private boolean shouldSwitchPath(long pauseNanos) throws Exception {
    return loop.submit(() -> faults.shouldSwitchPath(path, pauseNanos, USUAL_PAUSE_NANOS)).get();
  }

  /** A crashed second engine becomes suspect although the first does not report it as stalled. */
  @Test
  public void crashedEngineIsFoundBeforeTheFirstEngineNamesIt() throws Exception {
    second.close();
    assertFalse(shouldSwitchPath(LONG_PAUSE_NANOS));
    while (!loop.submit(() -> faults.isSuspect("e2")).get()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertFalse(loop.submit(() -> faults.isSuspect("e1")).get());
    assertTrue(shouldSwitchPath(LONG_PAUSE_NANOS));
    assertFalse(shouldSwitchPath(SHORT_PAUSE_NANOS), "path was left after a usual pause");
  }

  /** A usual pause starts no probe; after a long one, engines that send reports stay in use. */
  @Test
  public void usualPauseProbesNoEngine() throws Exception {
    assertFalse(shouldSwitchPath(SHORT_PAUSE_NANOS));
    assertFalse(shouldSwitchPath(LONG_PAUSE_NANOS));
    while (first.requests.isEmpty() || second.requests.isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertFalse(shouldSwitchPath(LONG_PAUSE_NANOS));
    assertEquals(first.requests.size(), 1);
  }
}
