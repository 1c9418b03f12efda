package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that targets get no new requests after an answer that says that they are leaving. */
public class LeavingTargetTest extends ProxyTest {
  private static String with(String response, String header) {
    return response.replaceFirst("\r\n", "\r\n" + header + "\r\n");
  }

  private void announce(long startedAt, long sequence) throws Exception {
    TargetStatement statement =
        new TargetStatement(
            "t1", "s", first.address(), "a", 8, Phase.READY, "", null, startedAt, sequence);
    loop.submit(() -> routing.fleet().recordStatement(statement, System.nanoTime())).sync();
  }

  /** Answers of a target that leaves, by kind. */
  @DataProvider
  public Object[][] answersOfALeavingTarget() {
    return new Object[][] {
      {"success", OK_RESPONSE},
      {"refusal", REFUSAL},
      {"server error", "HTTP/1.1 500 No\r\nProof: p\r\nContent-Length: 2\r\n\r\nno"},
      {"not found", "HTTP/1.1 404 No\r\nProof: p\r\nContent-Length: 2\r\n\r\nno"},
      {"body cut", OK_RESPONSE.replace("Length: 4", "Length: 9") + ScriptedTarget.CLOSE},
    };
  }

  /** A leaving target gets no new request until its next start, whatever its heartbeats say. */
  @Test(dataProvider = "answersOfALeavingTarget")
  public void leavingTargetGetsNoRequests(String name, String answer) throws Exception {
    startTargets(with(answer, "Leaving: 1"));
    call("GET", "/safe/x", "", "");
    assertEquals(first.requests.size(), 1, name);
    announce(1, 2);
    first.script = request -> OK_RESPONSE;
    for (int i = 0; i < 5; i++) {
      assertEquals(status(call("GET", "/safe/x", "", "")), 200, name);
    }
    assertEquals(first.requests.size(), 1, name);
    announce(2, 1);
    assertEquals(status(call("GET", "/safe/x", "", "")), 200, name);
    assertEquals(first.requests.size(), 2, name);
  }

  /** Values of a header that announce nothing. */
  @DataProvider
  public Object[][] headersWithoutMeaning() {
    return new Object[][] {{"Leaving: 0"}, {"Leaving: "}, {"Leaving: no"}, {"Other: 1"}};
  }

  /** A target that does not leave stays in use. */
  @Test(dataProvider = "headersWithoutMeaning")
  public void otherHeaderValuesChangeNothing(String header) throws Exception {
    startTargets(with(OK_RESPONSE, header));
    call("GET", "/safe/x", "", "");
    call("GET", "/safe/x", "", "");
    assertEquals(first.requests.size(), 2);
  }
}
