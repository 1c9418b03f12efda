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

  /** Bytes missing at the end of the body, and bytes of the next response that come at once. */
  @DataProvider
  public Object[][] fillingsInTwoReads() {
    List<Object[]> cases = new ArrayList<>();
    int filling = success("r0").length();
    for (int missing : new int[] {1, 5, 7, 12, 18, 30, OWN_BODY.length()}) {
      for (int first : new int[] {1, 6, 7, 11, 12, 17, 29, 40, 80, filling - 8, filling - 1}) {
        if (first != missing) {
          cases.add(new Object[] {missing, first});
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** The head that begins in the body is found although it came in another read than its end. */
  @Test(dataProvider = "fillingsInTwoReads")
  public void bodyFilledInTwoReadsIsLost(int missing, int first) throws Exception {
    String filling = success("r0");
    assertLost(
        missing, filling.substring(0, first) + ScriptedTarget.PAUSE + filling.substring(first));
  }

  /** Bytes missing at the end of the body, which the first part of the next response supplies. */
  @DataProvider
  public Object[][] fillingsWhoseFirstPartFits() {
    List<Object[]> cases = new ArrayList<>();
    for (int missing = "HTTP/1.".length(); missing <= OWN_BODY.length(); missing++) {
      cases.add(new Object[] {missing});
    }
    return cases.toArray(Object[][]::new);
  }

  /** The body ends with the first part of another response, of which the rest comes later. */
  @Test(dataProvider = "fillingsWhoseFirstPartFits")
  public void bodyThatEndsWithinAnotherResponseIsLost(int missing) throws Exception {
    String filling = success("r0");
    assertLost(
        missing, filling.substring(0, missing) + ScriptedTarget.PAUSE + filling.substring(missing));
  }

  /** Lengths of the own body that has arrived, and of the missing part. */
  @DataProvider
  public Object[][] largeFillings() {
    List<Object[]> cases = new ArrayList<>();
    for (int arrived : new int[] {0, 700, 1_800, 1_960, 2_040, 4_000, 30_000, 100_000}) {
      for (int missing : new int[] {9, 60, 3_000, 40_000, 90_000}) {
        cases.add(new Object[] {arrived, missing});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** The head of a large filling is found although the one packet is read in several parts. */
  @Test(dataProvider = "largeFillings")
  public void bodyFilledByALargePacketIsLost(int arrived, int missing) throws Exception {
    String own = response("HTTP/1.1 200 OK\r\n", "r1", "a".repeat(arrived + missing));
    String filling = response("HTTP/1.1 200 OK\r\n", "r0", "b".repeat(100_000));
    assertLost(own.substring(0, own.length() - missing) + filling);
  }

  /** Two responses fill the body: the first one whole, the second one goes on after it. */
  @Test
  public void bodyFilledByTwoResponsesIsLost() throws Exception {
    String own = response("HTTP/1.1 200 OK\r\n", "r1", "a".repeat(200));
    assertLost(own.substring(0, own.length() - 150) + success("r0") + success("r0"));
  }

  private void assertLost(int missing, String filling) throws Exception {
    assertLost(OWN.substring(0, OWN.length() - missing) + filling);
  }

  private void assertLost(String answer) throws Exception {
    answerInTurn(success("r0"), answer, success("r2"));
    assertEquals(call("r0").status(), 200);
    Outcome outcome = call("r1");
    assertNotNull(outcome.failure(), "status " + outcome.status());
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

  /** Whole responses of any body, in any number of reads, with or without additional bytes. */
  @DataProvider
  public Object[][] soundResponsesInParts() {
    List<Object[]> cases = new ArrayList<>();
    for (Object[] sound : soundResponses()) {
      String body = (String) sound[1];
      String extra = (String) sound[2];
      String later = ScriptedTarget.PAUSE + extra;
      String first = extra.substring(0, 6) + ScriptedTarget.PAUSE + extra.substring(6);
      cases.add(new Object[] {sound[0] + ", nothing more", body, body.length(), ""});
      cases.add(new Object[] {sound[0] + ", more later", body, body.length(), later});
      cases.add(new Object[] {sound[0] + ", more in two parts", body, body.length(), first});
      for (int cut : new int[] {1, 5, body.length() / 2, body.length() - 1}) {
        cases.add(new Object[] {sound[0] + ", cut at " + cut, body, cut, extra});
        cases.add(new Object[] {sound[0] + ", cut at " + cut + ", no more", body, cut, ""});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** The reads in which a sound body comes do not make it incomplete. */
  @Test(dataProvider = "soundResponsesInParts")
  public void wholeBodyInPartsIsPassedOn(String name, String body, int cut, String extra)
      throws Exception {
    String own = response("HTTP/1.1 200 OK\r\n", "r1", body);
    int at = own.length() - body.length() + cut;
    String answer = own.substring(0, at) + ScriptedTarget.PAUSE + own.substring(at) + extra;
    answerInTurn(success("r0"), answer, success("r2"));
    assertEquals(call("r0").status(), 200);
    Outcome outcome = call("r1");
    assertEquals(outcome.body(), body, name + ": " + outcome);
    assertOwnOrLost(call("r2"), success("r2"), name);
  }

  /** A sound body that ends like a head is passed on when the target closes after it. */
  @Test
  public void wholeBodyBeforeTheEndOfTheConnectionIsPassedOn() throws Exception {
    String body = "see HTTP/1.1 200 OK";
    String own = response("HTTP/1.1 200 OK\r\n", "r1", body);
    answerInTurn(success("r0"), own + ScriptedTarget.CLOSE);
    assertEquals(call("r0").status(), 200);
    assertEquals(call("r1").body(), body);
  }
}
