package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests that a response whose status is none reaches no caller by way of a second VM. */
public final class TwoHopInvalidStatusTest extends TwoHopTest {

  /** The serving VM gets it from the target. */
  @Test(dataProvider = "statuses", dataProviderClass = InvalidStatusTest.class)
  public void targetBehindTheServingVmSendsIt(String status) throws Exception {
    first.script = request -> InvalidStatusTest.forged(status, request);
    String answer = call("POST", "/once/x", "Id: o1\r\n", "order");
    InvalidStatusTest.assertNotForged(answer, status);
    assertEquals(first.requests.size(), 1, status + describe());
  }

  /** The cut VM gets it from what listens at the address of the serving VM. */
  @Test(dataProvider = "statuses", dataProviderClass = InvalidStatusTest.class)
  public void servingVmSendsIt(String status) throws Exception {
    second.script = request -> InvalidStatusTest.forged(status, request);
    servedBy(second.address());
    InvalidStatusTest.assertNotForged(call("POST", "/once/x", "Id: o1\r\n", "order"), status);
  }

  /** A stream that the serving VM passes on. */
  @Test(dataProvider = "statuses", dataProviderClass = InvalidStatusTest.class)
  public void streamBehindTheServingVmBeginsWithIt(String status) throws Exception {
    first.script = request -> InvalidStatusTest.forgedStream(status, request);
    InvalidStatusTest.assertNotForged(call("POST", "/fragile/x", "Id: o1\r\n", "p"), status);
  }
}
