package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementinesail.server.logging.DecisionLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** A pool of connections and a scripted target, started anew for each test. */
abstract class PoolTest {
  static final long RESULT_TIMEOUT_S = 20;
  static final String FAILURE_HEAD =
      "HTTP/1.1 500 Internal Server Error\r\nDate: Sat, 05 Dec 2026 09:00:00 GMT\r\n";

  MultiThreadIoEventLoopGroup group;
  EventLoop loop;
  TargetPool pool;
  ScriptedTarget target;

  /** Outcome of a request: status and body, or the failure. */
  record Outcome(int status, String body, ResponseListener.FailureKind failure, String reason) {}

  /** Collects a response. */
  static class Collector implements ResponseListener {
    final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    final CompletableFuture<HttpResponse> head = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();

    @Override
    public void onHead(HttpResponse response) {
      head.complete(response);
    }

    @Override
    public void onContent(ByteBuf content) {
      body.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
      outcome.complete(new Outcome(head.join().status().code(), body.toString(), null, ""));
    }

    @Override
    public void onFailure(FailureKind kind, String reason) {
      outcome.complete(new Outcome(0, "", kind, reason));
    }
  }

  /** Starts a target and a pool. */
  @BeforeMethod
  public void start() throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    DecisionLog log = new DecisionLog("test", new PrintStream(PrintStream.nullOutputStream()));
    pool = new TargetPool(loop, new ShortHeaderDialect(), log);
    target = new ScriptedTarget();
  }

  /** Stops the target and the event loop. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    target.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  static FullHttpRequest request(HttpMethod method) {
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x");
  }

  void send(String id, Collector collector) {
    loop.execute(
        () -> pool.send(target.address(), id, request(HttpMethod.GET), Long.MAX_VALUE, collector));
  }

  Outcome call(String id) throws Exception {
    Collector collector = new Collector();
    send(id, collector);
    return collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
  }

  void answerInTurn(String... scripts) {
    List<String> left = new ArrayList<>(List.of(scripts));
    target.script = request -> left.size() > 1 ? left.remove(0) : left.get(0);
  }

  static String response(String start, String id, String body) {
    return start
        + "Content-Type: text/plain\r\nId: "
        + id
        + "\r\nProof: p"
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  static String success(String id) {
    return response("HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 09:00:00 GMT\r\n", id, "well " + id);
  }

  static String failure(String id) {
    return response(FAILURE_HEAD, id, "no " + id);
  }

  static String refusal(String id) {
    return response("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\n", id, "");
  }

  static void assertOwnOrLost(Outcome outcome, String own, String message) {
    if (outcome.failure() == null) {
      assertEquals(outcome.status(), ProxyTest.status(own), message);
      assertEquals(outcome.body(), own.substring(own.indexOf("\r\n\r\n") + 4), message);
    }
  }

  /** Closes idle connections, so that the next call opens one. */
  void closeIdle() {
    loop.submit(() -> pool.closeIdle(target.address())).syncUninterruptibly();
  }

  Outcome callEngine() throws Exception {
    Collector collector = new Collector();
    loop.execute(
        () ->
            pool.sendEngineCall(
                target.address(), request(HttpMethod.GET), Long.MAX_VALUE, collector));
    return collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
  }
}
