package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when an engine counts as failed because it sends no report. */
public final class EngineProbeTest {
  private static final long LOOP_BLOCKED_MS = 600;
  private static final long RESULT_TIMEOUT_S = 60;

  private final BlockingQueue<EngineProbe.Result> results = new LinkedBlockingQueue<>();
  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private EngineProbe probe;
  private ScriptedTarget engine;

  /** Starts an engine that sends reports, and a probe. */
  @BeforeMethod
  public void start() throws Exception {
    results.clear();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    DecisionLog log = new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream()));
    TargetPool pool = new TargetPool(loop, new ShortHeaderDialect(), log);
    probe = new EngineProbe(loop, pool, new IdleEngineDialect());
    engine = new ScriptedTarget();
    engine.script = request -> IdleEngineDialect.REPORT_RESPONSE;
  }

  /** Stops the engine and the event loop. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    engine.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** The event loop is blocked for longer than a report's timeout; the engine has not failed. */
  @Test
  public void blockedEventLoopIsNotAnEngineFailure() throws Exception {
    loop.execute(
        () -> {
          probe.requestReport("e1", engine.address(), results::add);
          blockLoop();
        });
    assertTrue(results.poll(RESULT_TIMEOUT_S, TimeUnit.SECONDS) instanceof EngineProbe.Reported);
  }

  /** An engine that accepts the request and sends no response has failed. */
  @Test
  public void engineThatDoesNotAnswerIsReportedAsFailed() throws Exception {
    engine.script = request -> ScriptedTarget.HANG;
    loop.execute(() -> probe.requestReport("e1", engine.address(), results::add));
    assertTrue(results.poll(RESULT_TIMEOUT_S, TimeUnit.SECONDS) instanceof EngineProbe.Failed);
  }

  /** A kept connection that the engine has ended says nothing about the engine. */
  @Test
  public void endOfAKeptConnectionIsNotAnEngineFailure() throws Exception {
    AtomicInteger count = new AtomicInteger();
    engine.script =
        request ->
            count.incrementAndGet() == 2 ? ScriptedTarget.RESET : IdleEngineDialect.REPORT_RESPONSE;
    for (int i = 0; i < 2; i++) {
      loop.execute(() -> probe.requestReport("e1", engine.address(), results::add));
      EngineProbe.Result result = results.poll(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
      assertTrue(result instanceof EngineProbe.Reported, String.valueOf(result));
    }
    assertEquals(engine.requests.size(), 3);
  }

  private static void blockLoop() {
    try {
      TimeUnit.MILLISECONDS.sleep(LOOP_BLOCKED_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
