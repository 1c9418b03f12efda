package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.clementinesail.core.reachability.PeerVm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a stream gets whose target is silent while its VM is cut off from new connections. */
public final class SilencedStreamTest extends ProxyTest {
  private static final String EVENTS = ContinuedStreamTest.event(1) + ContinuedStreamTest.event(2);
  private static final String HEAD =
      EVENT_STREAM_HEAD + "Content-Length: " + EVENTS.length() + "\r\n\r\n";

  /** Answers of the other VM that do not serve the stream. */
  @DataProvider
  public Object[][] failuresOfTheOtherVm() {
    String end = "Id: r1\r\nContent-Length: 0\r\n\r\n";
    return new Object[][] {
      {"unknown outcome", "HTTP/1.1 502 Bad Gateway\r\nRelay-Outcome: unknown\r\n" + end},
      {"deadline", "HTTP/1.1 504 Gateway Timeout\r\nRelay-Outcome: unknown\r\n" + end},
      {"not run", "HTTP/1.1 503 Busy\r\nRelay-Outcome: not-run\r\nRetry-After: 2.00\r\n" + end},
      {"lost", ScriptedTarget.RESET},
    };
  }

  private String stopAndAnswer(String response) {
    try {
      first.stopListening();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return response;
  }

  /** The target goes on after its silence, so a failure of the other VM ends nothing. */
  @Test(dataProvider = "failuresOfTheOtherVm")
  public void streamGoesOnIfTheOtherVmFails(String name, String failure) throws Exception {
    String stream = HEAD + ContinuedStreamTest.event(1) + ScriptedTarget.SILENCE;
    assertStreamIsWhole(stream + ContinuedStreamTest.event(2), name, failure);
  }

  /** The same for a stream that has not begun, and a failure that another target has answered. */
  @Test
  public void streamBeginsIfTheOtherVmPassesOnAFailure() throws Exception {
    String failure =
        "HTTP/1.1 500 No\r\nId: r1\r\nProof: p\r\nRelay-Target: 1 t2\r\nContent-Length: 2\r\n\r\nno";
    assertStreamIsWhole(ScriptedTarget.SILENCE + HEAD + EVENTS, "500 of a target", failure);
  }

  private void assertStreamIsWhole(String stream, String name, String failure) throws Exception {
    applyDesiredState();
    addTarget("t1", first, "a");
    second.script = request -> failure;
    PeerVm vm = new PeerVm("other", second.address(), "a");
    loop.submit(() -> proxy.peers().peers(List.of(vm))).sync();
    first.script = request -> stopAndAnswer(stream);
    Received received = receive("/stream/x", "");
    String seen = name + ": " + received + logged();
    assertEquals(second.requests.size(), 1, seen);
    assertTrue(received.complete() && received.text().contains("data: e2"), seen);
  }
}
