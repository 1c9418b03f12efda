package org.clementinesail.server.control;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;

/** Requests to other VMs and to this one, matched with their responses. */
public final class PeerRequests {
  private final String self;
  private final BiPredicate<String, Frame> network;
  private final Function<Request, CompletableFuture<Response>> local;
  private final AtomicLong nextId = new AtomicLong(1);
  private final Map<Long, CompletableFuture<Response>> waiting = new ConcurrentHashMap<>();

  /**
   * Creates an empty set of requests.
   *
   * @param self name of this VM
   * @param network sends a frame to a VM; false if there is no connection
   * @param local serves requests to this VM itself
   */
  public PeerRequests(
      String self,
      BiPredicate<String, Frame> network,
      Function<Request, CompletableFuture<Response>> local) {
    this.self = self;
    this.network = network;
    this.local = local;
  }

  /**
   * Sends a request.
   *
   * @param vm name of the VM to ask
   * @param request the request; its id is set here
   * @param timeout how long to wait
   * @return the response; fails if there is no connection or no response in time
   */
  public CompletableFuture<Response> send(String vm, Request.Builder request, Duration timeout) {
    long id = nextId.getAndIncrement();
    Request numbered = request.setId(id).build();
    if (vm.equals(self)) {
      return local.apply(numbered).orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
    CompletableFuture<Response> response = new CompletableFuture<>();
    waiting.put(id, response);
    if (!network.test(vm, Frame.newBuilder().setRequest(numbered).build())) {
      response.completeExceptionally(new ControlException("no connection to " + vm));
    }
    return response
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((answer, failure) -> waiting.remove(id));
  }

  /**
   * Takes a response from another VM.
   *
   * @param response the response
   */
  public void received(Response response) {
    CompletableFuture<Response> future = waiting.remove(response.getId());
    if (future != null) {
      future.complete(response);
    }
  }
}
