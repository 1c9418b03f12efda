package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a truncated body that another response fills is not passed on as whole. */
public final class FilledBodyTest extends PoolTest {
  private static final String OWN_BODY = "the whole body of the own response, which is not short";
  private static final String OWN = response("HTTP/1.1 200 OK\r\n", "r1", OWN_BODY);

  /** Number of bytes missing at the end of the body, and whether the next response is late. */
  @DataProvider
  public Object[][] truncations() {
    List<Object[]> cases = new ArrayList<>();
    for (int missing = 1; missing <= OWN_BODY.length(); missing++) {
      cases.add(new Object[] {missing, false});
    }
    for (int missing : new int[] {1, 5, 17, 18, 30, OWN_BODY.length()}) {
      cases.add(new Object[] {missing, true});
    }
    return cases.toArray(Object[][]::new);
  }

  /** A copy of an earlier response fills the body; the request fails instead of a mixed success. */
  @Test(dataProvider = "truncations")
  public void bodyFilledByAnotherResponseIsLost(int missing, boolean late) throws Exception {
    String truncated = OWN.substring(0, OWN.length() - missing);
    String pause = late ? ScriptedTarget.PAUSE : "";
    answerInTurn(success("r0"), truncated + pause + success("r0"), success("r2"));
    assertEquals(call("r0").status(), 200);
    Outcome outcome = call("r1");
    assertNotNull(outcome.failure(), outcome.toString());
    assertEquals(call("r2").body(), "well r2");
  }

  /** Whole responses of any body, followed by additional bytes. */
  @DataProvider
  public Object[][] soundResponses() {
    String head = success("r0").substring(0, success("r0").indexOf("well"));
    return new Object[][] {
      {"text", OWN_BODY, success("r0")},
      {"text and part of a head", OWN_BODY, head.substring(0, 20)},
      {"text and garbage", OWN_BODY, "\0\1garbage"},
      {"whole response as text", success("r0"), success("r0")},
      {"whole response as text, then another", "see " + success("r0"), "HTTP/1.1 200 OK\r\n"},
      {"status line as text", "HTTP/1.1 200 OK", success("r0")},
      {"status line with its end as text", "HTTP/1.1 200 OK\r\n", success("r0")},
      {"head as text", head, success("r0")},
      {"head of an unknown request as text", head.replace("r0", "x9"), success("r0")},
      {"part of a head as text", head.substring(0, 40), success("r0")},
      {"version as text", "HTTP/1.1 ", success("r0")},
    };
  }

  /** A body may contain what looks like a response; additional bytes do not make it incomplete. */
  @Test(dataProvider = "soundResponses")
  public void wholeBodyWithAdditionalBytesIsPassedOn(String name, String body, String extra)
      throws Exception {
    answerInTurn(success("r0"), response("HTTP/1.1 200 OK\r\n", "r1", body) + extra);
    assertEquals(call("r0").status(), 200);
    Outcome outcome = call("r1");
    assertEquals(outcome.body(), body, name + ": " + outcome);
  }
}
