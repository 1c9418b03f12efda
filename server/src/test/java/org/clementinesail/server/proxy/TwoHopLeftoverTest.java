package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no copy of a stream crosses two VMs to the next caller of its connection. */
public final class TwoHopLeftoverTest extends TwoHopTest {
  /** Length of the copy, when it is sent, and the second response. */
  @DataProvider
  public Object[][] copies() {
    return new LeftoverStreamBytesTest().copies();
  }

  /** The caller gets its own whole response or a failure, never the status of the copy. */
  @Test(dataProvider = "copies", timeOut = 20_000)
  public void copyOfAStreamIsNotTakenForTheNextResponse(
      int cut, LeftoverStreamBytesTest.Moment moment, String second) throws Exception {
    first.script =
        request ->
            request.contains("Id: r0")
                ? LeftoverStreamBytesTest.firstResponse(cut, moment)
                : LeftoverStreamBytesTest.secondResponse(cut, moment, second);
    assertEquals(status(call("POST", "/stream/x", "Id: r0\r\n", "")), 200);
    String answer = call("POST", "/stream/x", "", "");
    assertFalse(answer.contains("text of r0"), answer);
    if (status(answer) / 100 == 2) {
      assertEquals(second, LeftoverStreamBytesTest.SECOND, answer);
      assertTrue(answer.contains("data: text of r1\n\n") && answer.endsWith("0\r\n\r\n"), answer);
    }
    // Told apart, before the next request or by its id.
    if (moment == LeftoverStreamBytesTest.Moment.WITH_THE_END
        || LeftoverStreamBytesTest.isWhole(cut)) {
      assertEquals(status(answer), status(second), answer + describe());
    }
  }
}
