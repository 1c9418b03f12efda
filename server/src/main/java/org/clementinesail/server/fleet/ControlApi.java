package org.clementinesail.server.fleet;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.server.control.NotLeaderException;
import org.clementinesail.server.control.ReplicaDriver;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.MalformedMessageException;
import org.jspecify.annotations.Nullable;

/** Serves the calls that targets and operators make to a control VM. */
public final class ControlApi implements HttpEndpoint.Handler {
  private static final String JSON = "application/json";
  private static final String EMPTY_OBJECT = "{}";
  private static final int OK = 200;
  private static final int REDIRECT = 307;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final EventLoop loop;
  private final ControlDialect dialect;
  private final FleetPublisher publisher;
  private final ReplicaDriver replica;
  private final Function<String, String> apiAddress;
  private final DecisionLog log;

  /**
   * Creates an API.
   *
   * @param loop event loop that answers are sent on
   * @param dialect paths and formats of the calls
   * @param publisher receives heartbeats and holds the desired state
   * @param replica the local replica
   * @param apiAddress maps the name of a control VM to the host and port of its API
   * @param log log of calls and their results
   */
  public ControlApi(
      EventLoop loop,
      ControlDialect dialect,
      FleetPublisher publisher,
      ReplicaDriver replica,
      Function<String, String> apiAddress,
      DecisionLog log) {
    this.loop = loop;
    this.dialect = dialect;
    this.publisher = publisher;
    this.replica = replica;
    this.apiAddress = apiAddress;
    this.log = log;
  }

  @Override
  public void handle(FullHttpRequest request, Consumer<FullHttpResponse> reply) {
    ControlDialect.Call call;
    try {
      call = dialect.read(request);
    } catch (MalformedMessageException e) {
      log.write(
          "unreadable call", "uri", HttpEndpoint.loggable(request.uri()), "reason", e.getMessage());
      reply.accept(HttpEndpoint.text(BAD_REQUEST, JSON, EMPTY_OBJECT));
      return;
    }
    if (call instanceof ControlDialect.Heartbeat heartbeat) {
      publisher.onHeartbeat(heartbeat.statement());
      reply.accept(HttpEndpoint.text(OK, JSON, EMPTY_OBJECT));
    } else if (call instanceof ControlDialect.Deregistration deregistration) {
      publisher.onDeregistration(deregistration.statement());
      reply.accept(HttpEndpoint.text(OK, JSON, EMPTY_OBJECT));
    } else if (call instanceof ControlDialect.PutDesired) {
      putDesired(request, reply);
    } else if (call instanceof ControlDialect.ReadDesired) {
      readDesired(request, reply);
    } else {
      reply.accept(HttpEndpoint.text(NOT_FOUND, JSON, EMPTY_OBJECT));
    }
  }

  private void putDesired(FullHttpRequest request, Consumer<FullHttpResponse> reply) {
    Optional<FullHttpResponse> notLeaderResponse = notLeaderResponse(request.uri());
    if (notLeaderResponse.isPresent()) {
      reply.accept(notLeaderResponse.get());
      return;
    }
    byte[] document = ByteBufUtil.getBytes(request.content());
    DesiredState.CheckResult checked = dialect.checkDesired(document);
    if (checked instanceof DesiredState.Invalid invalid) {
      log.write("desired state refused", "reason", HttpEndpoint.loggable(invalid.reason()));
      reply.accept(HttpEndpoint.text(BAD_REQUEST, JSON, EMPTY_OBJECT));
      return;
    }
    long version = ((DesiredState.Valid) checked).state().version();
    Optional<DesiredDocument> held = publisher.desired();
    if (held.isPresent() && version <= held.get().version()) {
      log.write("desired state is old", "version", version, "held", held.get().version());
      reply.accept(HttpEndpoint.text(OK, JSON, EMPTY_OBJECT));
      return;
    }
    String uri = request.uri();
    replica
        .propose(new Command.PutDesired(DocumentCompression.compress(version, document)))
        .whenComplete(
            (result, failure) ->
                loop.execute(
                    () ->
                        publisher.runAfterPush(
                            () -> reply.accept(putResponse(uri, version, result, failure)))));
  }

  private FullHttpResponse putResponse(
      String uri, long version, @Nullable CommandResult result, @Nullable Throwable failure) {
    if (result instanceof CommandResult.DesiredHeld held) {
      log.write("desired state accepted", "version", version, "held", held.version());
      return HttpEndpoint.text(OK, JSON, EMPTY_OBJECT);
    }
    log.write("desired state unclear", "version", version, "why", String.valueOf(failure));
    return failureResponse(uri, failure);
  }

  private void readDesired(FullHttpRequest request, Consumer<FullHttpResponse> reply) {
    Optional<FullHttpResponse> notLeaderResponse = notLeaderResponse(request.uri());
    if (notLeaderResponse.isPresent()) {
      reply.accept(notLeaderResponse.get());
      return;
    }
    String uri = request.uri();
    replica
        .read(SystemState::desiredDocument)
        .handle(
            (document, failure) ->
                failure == null ? readResponse(document) : failureResponse(uri, failure))
        .thenAcceptAsync(reply, loop);
  }

  private static FullHttpResponse readResponse(Optional<DesiredDocument> document) {
    return document
        .map(held -> HttpEndpoint.bytes(OK, JSON, DocumentCompression.decompress(held)))
        .orElseGet(ControlApi::unavailable);
  }

  /**
   * Returns the response of a VM that does not lead: a redirect to the leader, or status 503 if the
   * leader is unknown. Empty if this VM leads.
   */
  private Optional<FullHttpResponse> notLeaderResponse(String uri) {
    String leader = replica.status().leaderVm();
    if (replica.status().role().equals("leader")) {
      return Optional.empty();
    }
    return Optional.of(leader.isEmpty() ? unavailable() : redirect(leader, uri));
  }

  private FullHttpResponse failureResponse(String uri, @Nullable Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof NotLeaderException notLeader && !notLeader.leaderVm().isEmpty()) {
      return redirect(notLeader.leaderVm(), uri);
    }
    return unavailable();
  }

  private FullHttpResponse redirect(String leader, String uri) {
    FullHttpResponse response = HttpEndpoint.text(REDIRECT, JSON, EMPTY_OBJECT);
    response.headers().set(HttpHeaderNames.LOCATION, "http://" + apiAddress.apply(leader) + uri);
    return response;
  }

  private static FullHttpResponse unavailable() {
    return HttpEndpoint.text(UNAVAILABLE, JSON, EMPTY_OBJECT);
  }
}
