package org.clementinesail.server.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;
import org.testng.annotations.Test;

/** Tests which request a response of another VM completes. */
public final class PeerRequestsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final List<Frame> sent = new ArrayList<>();

  private PeerRequests startProcess() {
    return new PeerRequests("a", (vm, frame) -> sent.add(frame), PeerRequestsTest::noLocalRequest);
  }

  private static CompletableFuture<Response> noLocalRequest(Request request) {
    throw new AssertionError("request to this VM: " + request);
  }

  private static Response responseTo(Frame frame) {
    return Response.newBuilder().setId(frame.getRequest().getId()).build();
  }

  /** A response to a request of the VM's earlier process is not that to one of the present. */
  @Test
  public void responseToAnEarlierProcessCompletesNoRequest() {
    startProcess().send("b", Request.newBuilder(), TIMEOUT);
    PeerRequests restarted = startProcess();
    CompletableFuture<Response> response = restarted.send("b", Request.newBuilder(), TIMEOUT);
    restarted.complete(responseTo(sent.get(0)));
    assertFalse(response.isDone());
    Response own = responseTo(sent.get(1));
    restarted.complete(own);
    assertEquals(response.join(), own);
  }
}
