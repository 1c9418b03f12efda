package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a second response of a target reaches no caller of a VM that another one serves. */
public final class TwoHopSecondResponseTest extends TwoHopTest {
  private static final String OWN = PoolTest.failure("r1");

  /** Bytes that a target sends beside its response. */
  @DataProvider
  public Object[][] copies() {
    return new SecondResponseTest().copies();
  }

  private String call(String id) throws Exception {
    return call("POST", "/once/x", "Id: " + id + "\r\n", "x");
  }

  private void assertNextIsOwn(String name) throws Exception {
    String next = call("r2");
    assertEquals(body(next), "well r2", name + ": " + next + describe());
  }

  /** Whatever precedes the own response, it is passed on over both hops as it is, or lost. */
  @Test(dataProvider = "copies")
  public void copyBeforeTheOwnResponse(String name, String copy) throws Exception {
    answerInTurn(PoolTest.success("r0"), copy + OWN, PoolTest.success("r2"));
    assertEquals(status(call("r0")), 200);
    assertOwnOrLost(call("r1"), OWN, name + ": ");
    assertNextIsOwn(name);
  }

  /** Whatever follows the own response, it is passed on over both hops. */
  @Test(dataProvider = "copies")
  public void copyAfterTheOwnResponse(String name, String copy) throws Exception {
    answerInTurn(PoolTest.success("r0"), OWN + copy, PoolTest.success("r2"));
    assertEquals(status(call("r0")), 200);
    String response = call("r1");
    assertEquals(status(response), 500, name + ": " + response + describe());
    assertEquals(body(response), body(OWN), name);
    assertNextIsOwn(name);
  }

  /** The same bytes while the connection behind the serving VM is idle affect no response. */
  @Test(dataProvider = "copies")
  public void copyWhileIdle(String name, String copy) throws Exception {
    answerInTurn(PoolTest.success("r0"), OWN + ScriptedTarget.PAUSE + copy, PoolTest.success("r2"));
    assertEquals(status(call("r0")), 200);
    assertOwnOrLost(call("r1"), OWN, name + ": ");
    TimeUnit.MILLISECONDS.sleep(100);
    assertNextIsOwn(name);
  }

  /** A second response with the id of the next request is not that request's response. */
  @Test
  public void copyWithTheIdOfTheNextRequest() throws Exception {
    String evil = PoolTest.success("r1").replace("well", "evil");
    answerInTurn(PoolTest.success("r0") + evil, OWN);
    assertEquals(body(call("r0")), "well r0");
    assertOwnOrLost(call("r1"), OWN, "same read");
  }

  /** A response with another request's id only is lost, as on one hop. */
  @Test
  public void responseOfAnotherRequestOnlyIsLost() throws Exception {
    answerInTurn(PoolTest.success("r9").replace("well", "evil"));
    String response = call("r1");
    assertEquals(status(response) / 100, 5, response);
    assertFalse(response.contains("evil"), response);
  }

  /** A second response of the serving VM itself is told apart like one of a target. */
  @Test(dataProvider = "copies")
  public void copyOfTheServingVm(String name, String copy) throws Exception {
    try (ScriptedTarget vm = new ScriptedTarget()) {
      vm.script =
          request ->
              request.contains("Id: r0")
                  ? relayed(PoolTest.success("r0"))
                  : request.contains("Id: r1")
                      ? copy + relayed(OWN)
                      : relayed(PoolTest.success("r2"));
      servedBy(vm.address());
      assertEquals(status(call("r0")), 200);
      assertOwnOrLost(call("r1"), OWN, name + ": ");
      // A VM that has lost an answer gets no request for a second, so the next may be refused.
      assertOwnOrLost(call("r2"), PoolTest.success("r2"), name + ": ");
    }
  }

  /** Responses to HEAD, whose length announces no body. */
  @DataProvider
  public Object[][] headResponses() {
    return new SecondResponseTest().headResponses();
  }

  /** A body that follows the response to HEAD is neither passed on nor the next response. */
  @Test(dataProvider = "headResponses")
  public void responseToHeadHasNoBody(String name, String response) throws Exception {
    answerInTurn(PoolTest.success("r0"), response, PoolTest.success("r2"));
    assertEquals(status(call("r0")), 200);
    String answer = call("HEAD", "/once/x", "Id: r1\r\n", "");
    assertEquals(body(answer), "", name + ": " + answer);
    assertNextIsOwn(name);
  }

  /** Bytes of another response inside a chunked one, or after its end. */
  @DataProvider
  public Object[][] chunkedResponses() {
    return new SecondResponseTest().chunkedResponses();
  }

  /** Bytes of another response inside a chunked one lose it; after its end they are dropped. */
  @Test(dataProvider = "chunkedResponses")
  public void bytesInAChunkedResponse(String name, String response, boolean whole)
      throws Exception {
    answerInTurn(PoolTest.success("r0"), response, PoolTest.success("r2"));
    assertEquals(status(call("r0")), 200);
    String answer = call("r1");
    assertEquals(status(answer), whole ? 200 : 502, name + ": " + answer + describe());
    assertEquals(body(answer), whole ? "well" : "", name);
    assertNextIsOwn(name);
  }

  private static String relayed(String response) {
    return response.replaceFirst("\r\n", "\r\nRelay-Target: 1 t1\r\n");
  }
}
