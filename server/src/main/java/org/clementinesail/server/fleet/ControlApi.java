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

/** Answers the calls of targets and operators on a control VM. */
public final class ControlApi implements HttpEndpoint.Handler {
  private static final String JSON = "application/json";
  private static final String EMPTY = "{}";
  private static final int OK = 200;
  private static final int REDIRECT = 307;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final EventLoop loop;
  private final ControlDialect dialect;
  private final FleetHub hub;
  private final ReplicaDriver replica;
  private final Function<String, String> apiAddress;
  private final DecisionLog log;

  /**
   * Creates an API.
   *
   * @param loop the event loop
   * @param dialect formats of the calls
   * @param hub what is known of targets
   * @param replica the local replica
   * @param apiAddress gives the address of another control VM's API for its name
   * @param log lines for decisions
   */
  public ControlApi(
      EventLoop loop,
      ControlDialect dialect,
      FleetHub hub,
      ReplicaDriver replica,
      Function<String, String> apiAddress,
      DecisionLog log) {
    this.loop = loop;
    this.dialect = dialect;
    this.hub = hub;
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
      log.write("unreadable call", "uri", request.uri(), "reason", e.getMessage());
      reply.accept(HttpEndpoint.text(BAD_REQUEST, JSON, EMPTY));
      return;
    }
    if (call instanceof ControlDialect.Heartbeat beat) {
      hub.heard(beat.statement());
      reply.accept(HttpEndpoint.text(OK, JSON, EMPTY));
    } else if (call instanceof ControlDialect.Goodbye goodbye) {
      hub.left(goodbye.id());
      reply.accept(HttpEndpoint.text(OK, JSON, EMPTY));
    } else if (call instanceof ControlDialect.PutDesired) {
      put(request, reply);
    } else if (call instanceof ControlDialect.ReadDesired) {
      read(request, reply);
    } else {
      reply.accept(HttpEndpoint.text(NOT_FOUND, JSON, EMPTY));
    }
  }

  private void put(FullHttpRequest request, Consumer<FullHttpResponse> reply) {
    Optional<FullHttpResponse> elsewhere = elsewhere(request.uri());
    if (elsewhere.isPresent()) {
      reply.accept(elsewhere.get());
      return;
    }
    byte[] document = ByteBufUtil.getBytes(request.content());
    DesiredState.Checked checked = dialect.desired(document);
    if (checked instanceof DesiredState.Invalid invalid) {
      log.write("desired state refused", "reason", invalid.reason());
      reply.accept(HttpEndpoint.text(BAD_REQUEST, JSON, EMPTY));
      return;
    }
    long version = ((DesiredState.Valid) checked).state().version();
    if (version <= hub.desired().version()) {
      log.write("desired state is old", "version", version, "held", hub.desired().version());
      reply.accept(HttpEndpoint.text(OK, JSON, EMPTY));
      return;
    }
    String uri = request.uri();
    replica
        .propose(new Command.PutDesired(Documents.pack(version, document)))
        .whenComplete(
            (result, failure) ->
                loop.execute(
                    () ->
                        hub.afterPush(
                            () -> reply.accept(putAnswer(uri, version, result, failure)))));
  }

  private FullHttpResponse putAnswer(
      String uri, long version, @Nullable CommandResult result, @Nullable Throwable failure) {
    if (result instanceof CommandResult.DesiredHeld held) {
      log.write("desired state accepted", "version", version, "held", held.version());
      return HttpEndpoint.text(OK, JSON, EMPTY);
    }
    log.write("desired state unclear", "version", version, "why", String.valueOf(failure));
    return unclear(uri, failure);
  }

  private void read(FullHttpRequest request, Consumer<FullHttpResponse> reply) {
    Optional<FullHttpResponse> elsewhere = elsewhere(request.uri());
    if (elsewhere.isPresent()) {
      reply.accept(elsewhere.get());
      return;
    }
    String uri = request.uri();
    replica
        .read(SystemState::desired)
        .whenComplete(
            (document, failure) ->
                loop.execute(() -> reply.accept(readAnswer(uri, document, failure))));
  }

  private FullHttpResponse readAnswer(
      String uri, @Nullable DesiredDocument document, @Nullable Throwable failure) {
    if (document == null) {
      return unclear(uri, failure);
    }
    return document.version() == 0
        ? HttpEndpoint.text(UNAVAILABLE, JSON, EMPTY)
        : HttpEndpoint.bytes(OK, JSON, Documents.unpack(document));
  }

  /** Returns the answer of a VM that does not lead. */
  private Optional<FullHttpResponse> elsewhere(String uri) {
    String leader = replica.status().leaderVm();
    if (replica.status().role().equals("leader")) {
      return Optional.empty();
    }
    return Optional.of(leader.isEmpty() ? unavailable() : redirect(leader, uri));
  }

  private FullHttpResponse unclear(String uri, @Nullable Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof NotLeaderException other && !other.leaderVm().isEmpty()) {
      return redirect(other.leaderVm(), uri);
    }
    return unavailable();
  }

  private FullHttpResponse redirect(String leader, String uri) {
    FullHttpResponse response = HttpEndpoint.text(REDIRECT, JSON, EMPTY);
    response.headers().set(HttpHeaderNames.LOCATION, "http://" + apiAddress.apply(leader) + uri);
    return response;
  }

  private static FullHttpResponse unavailable() {
    return HttpEndpoint.text(UNAVAILABLE, JSON, EMPTY);
  }
}
