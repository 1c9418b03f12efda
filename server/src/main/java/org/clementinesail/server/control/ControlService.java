package org.clementinesail.server.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.wire.StateCodec;
import org.clementinesail.wire.proto.NotLeader;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;
import org.clementinesail.wire.proto.RulesAnswer;
import org.clementinesail.wire.proto.VmStatusImage;
import org.jspecify.annotations.Nullable;

/** Serves requests from other VMs and from this VM with the local replica. */
public final class ControlService {
  private final @Nullable ReplicaDriver replica;
  private final Supplier<VmStatusImage> status;

  /**
   * Creates a service.
   *
   * @param replica the local replica, or null on a VM without one
   * @param status supplies the current status of this VM
   */
  public ControlService(@Nullable ReplicaDriver replica, Supplier<VmStatusImage> status) {
    this.replica = replica;
    this.status = status;
  }

  /**
   * Serves a request to read the status, to read the rules or to apply a command.
   *
   * @param request request with its id set
   * @return the response with the request's id; {@code not_leader} if the request fails or needs a
   *     replica and this VM has none
   */
  public CompletableFuture<Response> answer(Request request) {
    if (request.hasReadStatus()) {
      return CompletableFuture.completedFuture(
          Response.newBuilder().setId(request.getId()).setStatus(status.get()).build());
    }
    ReplicaDriver local = replica;
    if (local == null) {
      return CompletableFuture.completedFuture(notLeader(request.getId(), ""));
    }
    CompletableFuture<Response> answer =
        request.hasReadRules() ? readRules(local, request) : execute(local, request);
    return answer.exceptionally(failure -> toNotLeader(request.getId(), failure));
  }

  private static CompletableFuture<Response> execute(ReplicaDriver replica, Request request) {
    return replica
        .propose(StateCodec.decode(request.getCommand()))
        .thenApply(
            result ->
                Response.newBuilder()
                    .setId(request.getId())
                    .setResult(StateCodec.encode(result))
                    .build());
  }

  private static CompletableFuture<Response> readRules(ReplicaDriver replica, Request request) {
    long heldNumber = request.getReadRules().getNumber();
    return replica
        .read(state -> rulesAnswer(state, heldNumber))
        .thenApply(answer -> Response.newBuilder().setId(request.getId()).setRules(answer).build());
  }

  private static RulesAnswer rulesAnswer(SystemState state, long heldNumber) {
    RulesAnswer.Builder answer = RulesAnswer.newBuilder().setNumber(state.latestRules().number());
    Optional<List<RulesDelta>> deltas = state.deltasSince(heldNumber);
    if (deltas.isPresent()) {
      deltas.get().forEach(delta -> answer.addDeltas(StateCodec.encode(delta)));
    } else {
      answer.setFull(true).setText(state.latestRules().text());
    }
    return answer.build();
  }

  private static Response toNotLeader(long id, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    String leader = cause instanceof NotLeaderException e ? e.leaderVm() : "";
    return notLeader(id, leader);
  }

  private static Response notLeader(long id, String leaderVm) {
    return Response.newBuilder()
        .setId(id)
        .setNotLeader(
            NotLeader.newBuilder().setLeaderVm(leaderVm).setLeaderKnown(!leaderVm.isEmpty()))
        .build();
  }
}
