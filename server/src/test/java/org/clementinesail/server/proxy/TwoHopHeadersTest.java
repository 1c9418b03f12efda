package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that headers between VMs say what the VMs say, whoever else sends such headers. */
public final class TwoHopHeadersTest extends TwoHopTest {
  private static final String ONCE = "/once/x";

  private static String with(String response, String header) {
    return response.replaceFirst("\r\n", "\r\n" + header + "\r\n");
  }

  /** Headers of a target that a VM could take for those of the serving VM. */
  @DataProvider
  public Object[][] headersOfTargets() {
    return new Object[][] {
      {"Relay-Outcome: not-run"},
      {"Relay-Outcome: unknown"},
      {"relay-outcome: not-run"},
      {"Relay-Outcome: "},
      {"Relay-Target: 1 t2"},
      {"Relay-Target: 1 t1\r\nRelay-Target: 1 t2"},
      {"Relay-Earlier-Runs: 9"},
      {"Connection: Relay-Target"},
      {"Connection: Id"},
      {"Connection: Relay-Outcome\r\nRelay-Outcome: not-run"},
    };
  }

  /** A target that sends headers between VMs has answered; its request is not run again. */
  @Test(dataProvider = "headersOfTargets")
  public void headerOfTargetIsNoStatementOfTheServingVm(String header) throws Exception {
    addTargetBehindCut("t2", second, "b");
    second.script = ProxyTest::identifiedResponse;
    first.script = request -> with(identifiedResponse(request), header);
    String response = call("POST", ONCE, "Id: p1\r\n", "pay");
    assertEquals(status(response), 200, response + describe());
    assertEquals(first.requests.size() + second.requests.size(), 1, describe());
    assertFalse(response.toLowerCase(Locale.ROOT).contains("relay-"), response);
  }

  /** A payment that has run is not sent to a third VM because of what its target says. */
  @Test
  public void paymentThatHasRunIsNotSentToAThirdVm() throws Exception {
    PeerVm one = new PeerVm("one", "127.0.0.1:" + relayPort, "a");
    PeerVm two = new PeerVm("two", "127.0.0.1:" + relayPort, "a");
    loop.submit(() -> proxy.peers().peers(List.of(one, two))).sync();
    first.script = request -> with(identifiedResponse(request), "Relay-Outcome: not-run");
    call("POST", ONCE, "Id: p1\r\n", "pay");
    assertEquals(first.requests.size(), 1, describe());
  }

  /** A success counts only if the serving VM says which target it is of. */
  @Test
  public void successOfWhatIsNoVmIsNotPassedOn() throws Exception {
    servedBy(second.address());
    second.script = ProxyTest::identifiedResponse;
    assertEquals(status(call("POST", ONCE, "Id: p1\r\n", "pay")), 502, describe());
    assertEquals(second.requests.size(), 1, describe());
  }

  /** A target that refuses and claims an unknown outcome has not run the request. */
  @Test
  public void refusalWithAnOutcomeIsARefusal() throws Exception {
    addTargetBehindCut("t2", second, "b");
    second.script = ProxyTest::identifiedResponse;
    first.script =
        request -> {
          String refusal = identifiedResponse(request).replace("Proof: p", "Not-Started: 1");
          return with(refusal.replace("200 OK", "503 Busy"), "Relay-Outcome: unknown");
        };
    assertEquals(status(call("POST", ONCE, "Id: p1\r\n", "pay")), 200, describe());
  }

  /** A target that names another one cannot make the cut VM leave that one alone. */
  @Test
  public void targetCannotSpeakForAnother() throws Exception {
    addTargetBehindCut("t2", second, "b");
    first.script = request -> with(identifiedResponse(request), "Relay-Target: 1 t2\r\nLeaving: 1");
    assertEquals(status(call("POST", ONCE, "", "x")), 200);
    assertEquals(usableTargets(), List.of(Set.of("t2"), Set.of("t2")), describe());
  }

  /** A response without the request id is that of the request over both hops, as on one. */
  @Test
  public void responseWithoutIdIsNotLostOnAKeptConnectionBetweenVms() throws Exception {
    first.script = request -> identifiedResponse(request) + ScriptedTarget.CLOSE;
    assertEquals(status(call("POST", ONCE, "Id: n1\r\n", "pay")), 200);
    first.script = request -> OK_RESPONSE;
    String response = call("POST", ONCE, "Id: n2\r\n", "pay");
    assertEquals(status(response), 200, response + describe());
    assertEquals(first.requests.size(), 2, describe());
  }

  /** A request without an id is served over both hops, and its answer names none. */
  @Test
  public void requestWithoutIdIsServed() throws Exception {
    first.script = request -> OK_RESPONSE;
    for (int i = 0; i < 2; i++) {
      String response = callAt(port, ONCE, "", "pay");
      assertEquals(status(response), 200, response + describe());
      assertFalse(response.contains("Id:"), response);
    }
  }

  /** Headers between VMs that a caller sends say nothing, and reach no target. */
  @Test
  public void headersBetweenVmsFromCallersAreNotObeyed() throws Exception {
    addTargetBehindCut("t2", second, "b");
    first.script = request -> ScriptedTarget.RESET;
    second.script = ProxyTest::identifiedResponse;
    String headers =
        "Relay-Earlier-Runs: 9\r\nRelay-Outcome: not-run\r\nRelay-Target: 1 t2\r\nRelay-Alive: 1\r\n";
    String response = call("POST", "/lookup/x", headers, "x");
    assertEquals(status(response), 200, response + describe());
    assertFalse(second.requests.get(0).contains("Relay-"), second.requests.get(0));
    assertFalse(response.contains("Relay-"), response);
  }

  /** A stranger on the port between VMs needs a key where callers need one. */
  @Test
  public void strangerOnThePortBetweenVmsNeedsAKey() throws Exception {
    String claims = "Id: s1\r\nWorkspace: acme\r\nRelay-Earlier-Runs: 0\r\nRelay-Target: 1 t1\r\n";
    assertEquals(status(callAt(relayPort, "/keyed/x", claims, "x")), 401);
    assertEquals(status(callAt(relayPort, "/keyed/x", claims + "Key: other\r\n", "x")), 401);
    assertTrue(first.requests.isEmpty(), describe());
    String served = callAt(relayPort, "/keyed/x", claims + "Key: secret-key\r\n", "x");
    assertEquals(status(served), 200, served + describe());
    assertFalse(first.requests.get(0).contains("secret-key"), describe());
    assertFalse(first.requests.get(0).contains("Relay-"), describe());
  }

  /** A stranger on the port between VMs gets no workspace but that of its key. */
  @Test
  public void strangerOnThePortBetweenVmsGetsTheWorkspaceOfItsKey() throws Exception {
    String claims = "Id: s1\r\nWorkspace: other\r\nKey: secret-key\r\n";
    assertEquals(status(callAt(relayPort, "/keyed/x", claims, "x")), 200);
    assertTrue(first.requests.get(0).contains("Workspace: acme\r\n"), describe());
    assertFalse(first.requests.get(0).contains("Workspace: other"), describe());
  }

  /** Earlier runs that a stranger claims cost its own request repeats only. */
  @Test
  public void earlierRunsOfAStrangerAffectItsOwnRequestOnly() throws Exception {
    addTargetBehindCut("t2", second, "b");
    first.script = request -> ScriptedTarget.RESET;
    second.script = ProxyTest::identifiedResponse;
    String claim = "Relay-Earlier-Runs: 999\r\n";
    assertEquals(status(callAt(relayPort, "/lookup/x", "Id: s1\r\n" + claim, "x")), 502);
    assertEquals(status(callAt(relayPort, "/lookup/x", "Id: s2\r\n", "x")), 200, describe());
  }

  /** A request that the cut VM accepts is not too large for the serving VM. */
  @Test
  public void requestWithTheLargestHeadIsServed() throws Exception {
    int size = RequestLimits.DEFAULT.maxHeaderBytes();
    String pad = "";
    int status;
    do {
      pad = "Pad: " + "p".repeat(size) + "\r\n";
      status = status(callAt(servingPort, ONCE, "Id: d" + size + "\r\n" + pad, "x"));
      size--;
    } while (status != 200);
    String response = callAt(port, ONCE, "Id: d1\r\n" + pad, "x");
    assertEquals(status(response), 200, response + describe());
  }
}
