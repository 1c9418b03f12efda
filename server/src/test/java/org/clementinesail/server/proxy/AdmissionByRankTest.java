package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.load.FleetLoad;
import org.testng.annotations.Test;

/** Tests that callers get targets and refusals in the order of their ranks. */
public class AdmissionByRankTest extends ProxyTest {

  private Map<FleetLoad.Waiting, Integer> waiting() throws Exception {
    return loop.submit(() -> routing.admission().waitingByRank()).get();
  }

  /** Guards against waiting requests that are lost, or that nobody reports as waiting. */
  @Test
  public void waitingRequestIsCountedAndServedByANewTarget() throws Exception {
    applyDesiredState();
    first.script = request -> OK_RESPONSE;
    ExecutorService callers = Executors.newSingleThreadExecutor();
    var answer = callers.submit(() -> call("POST", "/safe/x", "", "x"));
    for (int i = 0; i < 100 && waiting().isEmpty(); i++) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertEquals(waiting(), Map.of(new FleetLoad.Waiting("s", 1), 1));
    addTarget("t1", first, "a");
    assertTrue(answer.get().startsWith("HTTP/1.1 200"), answer.get());
    assertEquals(waiting(), Map.of());
    callers.shutdown();
  }

  /** Guards against refusals that do not say which queue was how long. */
  @Test
  public void refusalNamesServiceRankAndQueue() throws Exception {
    applyDesiredState();
    String answer = call("POST", "/safe/x", "", "x");
    assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
    for (int i = 0; i < 100 && !logged().contains("refused"); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertTrue(logged().contains("service s, rank 1, queue length"), logged());
  }

  /** Guards against a rank for targets other than that of the route, or none. */
  @Test
  public void targetGetsTheRank() throws Exception {
    startTargets(OK_RESPONSE);
    var heads = new ConcurrentLinkedQueue<String>();
    first.script =
        request -> {
          heads.add(request);
          return OK_RESPONSE;
        };
    call("POST", "/safe/x", "", "x");
    assertTrue(heads.element().contains("Rank: 1\r\n"), heads.element());
  }

  /** Guards against a rank of another VM that is lost, or an invalid one that is used. */
  @Test
  public void rankOfAnotherVmIsUsedIfValid() {
    var head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    assertEquals(RelayHeaders.rank(head, 4), 4);
    RelayHeaders.setRank(head.headers(), 7);
    assertEquals(RelayHeaders.rank(head, 4), 7);
    head.headers().set("Relay-Rank", "12");
    assertEquals(RelayHeaders.rank(head, 4), 4);
  }

  /** Guards against a request that takes a target for which another VM has a more urgent one. */
  @Test
  public void requestIsHeldBackForAnotherVmsUrgentOne() throws Exception {
    startTargets(OK_RESPONSE);
    call("POST", "/safe/x", "", "x");
    FleetLoad load =
        new FleetLoad(
            System.nanoTime(), 2, Map.of(), Map.of(new FleetLoad.Waiting("s", 0), 5), Map.of());
    loop.submit(() -> routing.fleetLoad(load)).sync();
    String answer = call("POST", "/safe/x", "", "x");
    assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
    loop.submit(() -> routing.fleetLoad(FleetLoad.NONE)).sync();
    assertTrue(call("POST", "/safe/x", "", "x").startsWith("HTTP/1.1 200"));
  }
}
