package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.clementinesail.core.ratelimits.RateLimit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that statements of targets count only in the answer to the request that was sent. */
public final class TwoHopNoticeTest extends TwoHopTest {
  private static final String LEAVING = "Leaving: 1";
  private static final String LIMIT = "Limit: 0.5";
  private static final String DEFERRAL = "Retry-After: 30";

  /** How an answer that is not the own one comes beside it. */
  private enum Place {
    BEFORE {
      @Override
      String of(String foreign, String own) {
        return foreign + own;
      }
    },
    AFTER {
      @Override
      String of(String foreign, String own) {
        return own + foreign;
      }
    },
    WHILE_IDLE {
      @Override
      String of(String foreign, String own) {
        return own + ScriptedTarget.PAUSE + foreign;
      }
    },
    ALONE {
      @Override
      String of(String foreign, String own) {
        return foreign;
      }
    };

    abstract String of(String foreign, String own);
  }

  private static String with(String response, String header) {
    return response.replaceFirst("\r\n", "\r\n" + header + "\r\n");
  }

  private static String answer(String id, String header) {
    String plain =
        header.equals(DEFERRAL)
            ? PoolTest.success(id).replace("200 OK", "503 Busy")
            : PoolTest.success(id);
    return with(plain, header);
  }

  /** Statements in answers to another request: where they come, and over how many hops. */
  @DataProvider
  public Object[][] foreignStatements() {
    List<Object[]> cases = new ArrayList<>();
    for (String header : List.of(LEAVING, LIMIT, DEFERRAL)) {
      for (Place place : Place.values()) {
        for (String id : List.of("r0", "r9")) {
          cases.add(new Object[] {header, place, id, true});
          cases.add(new Object[] {header, place, id, false});
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** Returns how many VMs know a limit, ended ones included. */
  private int limits() throws Exception {
    return records().size();
  }

  private long limitedVms() throws Exception {
    return records().stream().filter(RateLimit::limited).count();
  }

  private List<RateLimit> records() throws Exception {
    List<RateLimit> all = new ArrayList<>(loop.submit(proxy.rateLimitReports()::records).get());
    all.addAll(servingLoop.submit(serving.rateLimitReports()::records).get());
    return all;
  }

  /** A late copy, or another request's answer, states nothing on either VM. */
  @Test(dataProvider = "foreignStatements")
  public void statementInAnotherRequestsAnswerDoesNotCount(
      String header, Object place, String id, boolean twoHops) throws Exception {
    int at = twoHops ? port : servingPort;
    String spoilt = ((Place) place).of(answer(id, header), PoolTest.success("r1"));
    answerInTurn(PoolTest.success("r0"), spoilt, PoolTest.success("r2"));
    assertEquals(status(callAt(at, "/once/x", "Id: r0\r\n", "x")), 200);
    callAt(at, "/once/x", "Id: r1\r\n", "x");
    callAt(at, "/once/x", "Id: r2\r\n", "x");
    assertEquals(usableTargets(), List.of(Set.of("t1"), Set.of("t1")), describe());
    assertEquals(limits(), 0, describe());
  }

  /** Statements, and whether their target is usable afterwards, and the VMs that know a limit. */
  @DataProvider
  public Object[][] ownStatements() {
    return new Object[][] {{LEAVING, false, 0}, {LIMIT, true, 2}, {DEFERRAL, false, 0}};
  }

  /** The same statements count on both VMs in the answer to the request itself. */
  @Test(dataProvider = "ownStatements")
  public void statementInTheOwnAnswerCountsOnBothVms(String header, boolean usable, int limits)
      throws Exception {
    first.script = request -> answer("r1", header);
    callAt(port, "/once/x", "Id: r1\r\n", "x");
    Set<String> targets = usable ? Set.of("t1") : Set.of();
    assertEquals(usableTargets(), List.of(targets, targets), describe());
    assertEquals(limits(), limits, describe());
  }

  /** A copy without a limit, of an answer from before it, does not end the limit. */
  @Test
  public void copyFromBeforeALimitDoesNotEndIt() throws Exception {
    answerInTurn(
        PoolTest.success("r0"),
        answer("r1", LIMIT),
        PoolTest.success("r0") + answer("r2", LIMIT),
        answer("r3", LIMIT) + PoolTest.success("r1"));
    for (int i = 0; i < 4; i++) {
      callAt(port, "/once/x", "Id: r" + i + "\r\n", "x");
    }
    assertEquals(limits(), 2, describe());
    assertEquals(limitedVms(), 2, describe());
  }
}
