package org.clementinesail.server.control;

import java.security.SecureRandom;
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

/** Sends requests to other VMs and to this VM, and matches responses with them by id. */
public final class PeerRequests {
  private final String localVm;
  private final BiPredicate<String, Frame> frameSender;
  private final Function<Request, CompletableFuture<Response>> localHandler;

  /** Begins anywhere: responses to an earlier process of this VM may still come. */
  private final AtomicLong nextId = new AtomicLong(new SecureRandom().nextLong());

  private final Map<Long, CompletableFuture<Response>> pendingResponses = new ConcurrentHashMap<>();

  /**
   * Creates a client without pending requests.
   *
   * @param localVm name of this VM
   * @param frameSender sends a frame to the named VM; returns false if there is no connection
   * @param localHandler serves requests to this VM without the network
   */
  public PeerRequests(
      String localVm,
      BiPredicate<String, Frame> frameSender,
      Function<Request, CompletableFuture<Response>> localHandler) {
    this.localVm = localVm;
    this.frameSender = frameSender;
    this.localHandler = localHandler;
  }

  /**
   * Sends a request.
   *
   * @param vm name of the receiving VM
   * @param request the request; this method sets its id
   * @param timeout longest time to wait for the response, rounded down to whole milliseconds
   * @return the response; fails with a {@link ControlException} if there is no connection, or with
   *     a {@link java.util.concurrent.TimeoutException} if no response arrives in time
   */
  public CompletableFuture<Response> send(String vm, Request.Builder request, Duration timeout) {
    long id = nextId.getAndIncrement();
    Request requestWithId = request.setId(id).build();
    if (vm.equals(localVm)) {
      return localHandler.apply(requestWithId).orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
    CompletableFuture<Response> response = new CompletableFuture<>();
    pendingResponses.put(id, response);
    if (!frameSender.test(vm, Frame.newBuilder().setRequest(requestWithId).build())) {
      response.completeExceptionally(new ControlException("no connection to VM " + vm));
    }
    return response
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((answer, failure) -> pendingResponses.remove(id));
  }

  /**
   * Completes the request that a response from another VM belongs to.
   *
   * @param response the response; ignored if its request has timed out
   */
  public void complete(Response response) {
    CompletableFuture<Response> future = pendingResponses.remove(response.getId());
    if (future != null) {
      future.complete(response);
    }
  }
}
