package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that what has arrived on an idle connection is read before the connection is reused. */
public final class ReusedConnectionTest extends PoolTest {
  /** Longer than {@link ScriptedTarget#PAUSE}. */
  private static final long LOOP_BLOCKED_MS = 200;

  /** What a target sends while the connection is idle and the event loop is busy. */
  @DataProvider
  public Object[][] unreadBytes() {
    return new Object[][] {
      {"one byte", "H"},
      {"part of a head", "HTTP/1.1 200 OK\r\nContent-Ty"},
      {"copy of the response", success("r0")},
      {"close", ScriptedTarget.CLOSE},
      {"reset", ScriptedTarget.RESET},
      {"copy and close", success("r0") + ScriptedTarget.CLOSE},
    };
  }

  /** Unread bytes, or an unread end, on an idle connection cost the next request its response. */
  @Test(dataProvider = "unreadBytes")
  public void unreadBytesOfAnIdleConnectionLoseNoResponse(String name, String unread)
      throws Exception {
    answerInTurn(success("r0") + ScriptedTarget.PAUSE + unread, success("r1"));
    assertEquals(call("r0").status(), 200);
    Collector collector = new Collector();
    loop.execute(
        () -> {
          sleep();
          pool.send(target.address(), "r1", request(HttpMethod.GET), Long.MAX_VALUE, collector);
        });
    Outcome outcome = collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
    assertEquals(outcome.body(), "well r1", name + ": " + outcome);
    assertEquals(target.connections(), 2, name);
    assertEquals(target.requests.size(), 2, name);
  }

  /** A call to an engine does not take an unread copy of an earlier report for its answer. */
  @Test
  public void unreadCopyOfAReportIsNotTheNextReport() throws Exception {
    String old = IdleEngineDialect.REPORT_RESPONSE;
    answerInTurn(old + ScriptedTarget.PAUSE + old, old.replace("{}", "[]"));
    assertEquals(callEngine().body(), "{}");
    Collector collector = new Collector();
    loop.execute(
        () -> {
          sleep();
          pool.sendEngineCall(target.address(), request(HttpMethod.GET), Long.MAX_VALUE, collector);
        });
    assertEquals(collector.outcome.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS).body(), "[]");
  }

  /** An idle connection with nothing to read is reused, however often it is looked at. */
  @Test
  public void silentConnectionIsReused() throws Exception {
    for (int i = 0; i < 50; i++) {
      String id = "r" + i;
      answerInTurn(success(id));
      assertEquals(call(id).body(), "well " + id);
    }
    assertEquals(target.connections(), 1);
  }

  private static void sleep() {
    try {
      TimeUnit.MILLISECONDS.sleep(LOOP_BLOCKED_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
