package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
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

  private int limits() throws Exception {
    List<Integer> counts = new ArrayList<>();
    loop.submit(() -> counts.add(proxy.rateLimitReports().records().size())).sync();
    servingLoop.submit(() -> counts.add(serving.rateLimitReports().records().size())).sync();
    return counts.get(0) + counts.get(1);
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
    String logs = logged() + servingLogged();
    assertFalse(logs.contains("target leaves") || logs.contains("target defers"), describe());
    assertEquals(limits(), 0, describe());
  }

  /** Statements and the line, if any, that says that they count. */
  @DataProvider
  public Object[][] ownStatements() {
    return new Object[][] {
      {LEAVING, "target leaves", 0}, {LIMIT, "", 2}, {DEFERRAL, "target defers", 0}
    };
  }

  /** The same statements count on both VMs in the answer to the request itself. */
  @Test(dataProvider = "ownStatements")
  public void statementInTheOwnAnswerCountsOnBothVms(String header, String line, int records)
      throws Exception {
    first.script = request -> answer("r1", header);
    callAt(port, "/once/x", "Id: r1\r\n", "x");
    assertTrue(logged().contains(line) && servingLogged().contains(line), describe());
    assertEquals(limits(), records, describe());
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
    assertFalse(servingLogged().contains("limit ended"), describe());
  }
}
