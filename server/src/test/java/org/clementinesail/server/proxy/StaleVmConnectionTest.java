package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests on a kept connection between VMs that ends before any answer. */
public final class StaleVmConnectionTest extends TwoHopTest {
  private ScriptedTarget vm;

  /** Starts a VM that closes its connection when the second request comes. */
  @BeforeMethod
  public void startClosingVm() throws Exception {
    vm = new ScriptedTarget();
    vm.script =
        request ->
            vm.requests.size() == 2
                ? ScriptedTarget.CLOSE
                : identifiedResponse(request).replaceFirst("\r\n", "\r\nRelay-Target: 1 t1\r\n");
    servedBy(vm.address());
    assertEquals(status(call("POST", "/once/x", "Id: r0\r\n", "x")), 200, describe());
  }

  /** Stops that VM. */
  @AfterMethod(alwaysRun = true)
  public void stopClosingVm() throws Exception {
    vm.close();
  }

  /** Routes whose requests may be repeated. */
  @DataProvider
  public Object[][] repeatablePaths() {
    return new Object[][] {{"/safe/x"}, {"/single/x"}, {"/lookup/x"}};
  }

  /** A repeatable request is sent to the same VM once more, on a new connection. */
  @Test(dataProvider = "repeatablePaths")
  public void repeatableRequestIsNotLostWithAStaleConnection(String path) throws Exception {
    String response = call("POST", path, "Id: r1\r\n", "x");
    assertEquals(status(response), 200, response + describe());
    assertEquals(vm.requests.size(), 3, describe());
  }

  /** An order may have run, so it is not sent again. */
  @Test
  public void orderIsNotSentAgain() throws Exception {
    assertEquals(status(call("POST", "/once/x", "Id: r1\r\n", "x")), 502, describe());
    assertEquals(vm.requests.size(), 2, describe());
  }

  /** A request is sent once more only. */
  @Test
  public void requestIsSentOnceMoreOnly() throws Exception {
    vm.script = request -> ScriptedTarget.CLOSE;
    assertEquals(status(call("POST", "/safe/x", "Id: r1\r\n", "x")), 502, describe());
    assertEquals(vm.requests.size(), 3, describe());
  }
}
