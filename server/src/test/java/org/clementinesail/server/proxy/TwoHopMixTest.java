package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that callers at both VMs get their own answers of targets that answer twice or half. */
public final class TwoHopMixTest extends TwoHopTest {
  private static final int CALLERS = 6;
  private static final int CALLS = 60;

  private final List<String> ids = new CopyOnWriteArrayList<>();
  private final AtomicInteger spoilt = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();

  /** Seeds of the targets' faults, and kinds of routes. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1, "/once/x"}, {2, "/once/x"}, {3, "/lookup/x"}, {4, "/stream/x"}};
  }

  private static String id(String request) {
    int start = request.indexOf("Id: ") + "Id: ".length();
    return request.substring(start, request.indexOf("\r\n", start));
  }

  private static boolean fails(String id) {
    return id.endsWith("3") || id.endsWith("7");
  }

  private static String own(String id) {
    return fails(id) ? PoolTest.failure(id) : PoolTest.success(id);
  }

  /** Returns the own answer, or one with another answer beside it, or a part of the own one. */
  private synchronized String answer(String request, Random random) {
    String id = id(request);
    String own = own(id);
    String earlier = ids.isEmpty() ? own : own(ids.get(random.nextInt(ids.size())));
    String copy = random.nextBoolean() ? own : earlier;
    String part = copy.substring(0, random.nextInt(copy.length()) + 1);
    ids.add(id);
    int kind = random.nextInt(8);
    spoilt.addAndGet(kind < 6 ? 1 : 0);
    return switch (kind) {
      case 0 -> own + copy;
      case 1 -> own + part;
      case 2 -> own + ScriptedTarget.PAUSE + copy;
      case 3 -> own + ScriptedTarget.PAUSE + part;
      case 4 -> earlier + own;
      case 5 -> own.substring(0, random.nextInt(own.length())) + ScriptedTarget.CLOSE;
      default -> own;
    };
  }

  private List<String> callInTurn(int caller, int at, String path) throws Exception {
    List<String> wrong = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      String id = "c" + caller + "n" + i;
      String response = callAt(at, path, "Id: " + id + "\r\n", "x");
      boolean ofTarget = response.contains("Proof:") || status(response) / 100 == 2;
      boolean own = status(response) == status(own(id)) && body(response).equals(body(own(id)));
      answered.addAndGet(ofTarget ? 1 : 0);
      if (ofTarget && !own) {
        wrong.add(id + ": " + response);
      }
    }
    return wrong;
  }

  /** No caller gets the status or the body of another answer, or a part of its own. */
  @Test(dataProvider = "seeds", timeOut = 60_000)
  public void callersGetTheirOwnAnswers(int seed, String path) throws Exception {
    addTargetBehindCut("t2", second, "a");
    Random random = new Random(seed);
    first.script = request -> answer(request, random);
    second.script = first.script;
    spoilt.set(0);
    answered.set(0);
    ids.clear();
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try {
      List<Future<List<String>>> results = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        int at = i % 3 == 2 ? servingPort : port;
        results.add(callers.submit(() -> callInTurn(caller, at, path)));
      }
      for (Future<List<String>> result : results) {
        assertEquals(result.get(), List.of());
      }
    } finally {
      callers.shutdownNow();
      assertTrue(callers.awaitTermination(10, TimeUnit.SECONDS));
    }
    boolean repeated = new HashSet<>(ids).size() < ids.size();
    assertFalse(repeated && path.startsWith("/once"), "an order ran twice");
    assertTrue(spoilt.get() > CALLS, spoilt + " answers spoilt");
    assertTrue(answered.get() > CALLS, answered + " answers of targets");
    assertTrue(first.carriers.size() > CALLS, first.carriers.size() + " requests");
  }
}
