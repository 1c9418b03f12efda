package org.clementinesail.server.targets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.clementinesail.core.pipeline.StepCall;
import org.clementinesail.core.pipeline.StepFailure;
import org.clementinesail.core.pipeline.StepResult;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.TargetDescription;
import org.jspecify.annotations.Nullable;

/**
 * Speaks the target interface to engines, over HTTP and JSON.
 *
 * <p>While a step is out, a silent engine is asked on a new connection whether it runs the step; so
 * a lost connection is told from a lost engine, and both from a long step.
 */
public final class EngineClient implements Engines {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final Duration QUIET = Duration.ofMillis(250);
  private static final Duration PROBE = Duration.ofMillis(400);

  /**
   * How long an engine may take to read the first request of a connection that was just made before
   * the connection counts as lost; a process that has just started loads its classes meanwhile.
   */
  private static final Duration FIRST_READ = Duration.ofSeconds(2);

  private static final int HTTP_CONFLICT = 409;
  private static final int IDLE_CONNECTIONS_PER_TARGET = 64;
  private static final Duration IDLE_CONNECTION_KEPT = Duration.ofSeconds(30);

  private final ObjectMapper mapper;
  private final OkHttpClient base;
  private final OkHttpClient fresh;
  private final Duration stepDeadline;
  private final Map<String, OkHttpClient> clients = new ConcurrentHashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param mapper reads and writes JSON
   * @param connect how long the making of a connection may take
   * @param step how long one step may take
   */
  public EngineClient(ObjectMapper mapper, Duration connect, Duration step) {
    this.mapper = mapper;
    this.stepDeadline = step;
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(Integer.MAX_VALUE);
    dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
    this.base =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(connect)
            .readTimeout(Duration.ZERO)
            .callTimeout(step)
            .eventListenerFactory(call -> new ConnectionListener())
            .build();
    this.fresh =
        base.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS)).build();
  }

  @Override
  public StepOutcome step(String model, StepCall call, boolean newConnection)
      throws InterruptedException {
    TargetDescription target = call.stage().target();
    Attempt first = attempt(newConnection ? fresh : clientOf(target), model, call);
    if (!first.connectionLost()) {
      return first.outcome();
    }
    clients.remove(target.name());
    return attempt(fresh, model, call).outcome();
  }

  @Override
  public boolean answers(TargetDescription target) {
    return probe(target, "").answers();
  }

  @Override
  public @Nullable List<String> tokenize(TargetDescription target, String model, String text) {
    ObjectNode body = mapper.createObjectNode().put("model", model).put("text", text);
    try (Response response = fresh.newCall(post(target, "/v1/tokenize", body)).execute()) {
      if (!response.isSuccessful()) {
        return null;
      }
      return texts(mapper.readTree(response.body().byteStream()).path("tokens"));
    } catch (IOException e) {
      return null;
    }
  }

  @Override
  public void cancel(Stage stage, String requestId) {
    ObjectNode body = mapper.createObjectNode().put("request", requestId);
    clientOf(stage.target()).newCall(post(stage.target(), "/v1/cancel", body)).enqueue(IGNORE);
  }

  /**
   * One attempt at a step.
   *
   * @param outcome what became of it
   * @param connectionLost whether the engine answers elsewhere and does not run the step
   */
  private record Attempt(StepOutcome outcome, boolean connectionLost) {}

  private static final Attempt SILENT =
      new Attempt(new StepOutcome.Failed(StepFailure.SILENT), false);
  private static final Attempt CRASHED =
      new Attempt(new StepOutcome.Failed(StepFailure.CRASHED), false);
  private static final Attempt CONNECTION_LOST =
      new Attempt(new StepOutcome.Failed(StepFailure.SILENT), true);

  private Attempt attempt(OkHttpClient client, String model, StepCall call)
      throws InterruptedException {
    TargetDescription target = call.stage().target();
    ConnectionUse use = new ConnectionUse();
    Request step = post(target, "/v1/step", stepBody(model, call));
    Call http = client.newCall(step.newBuilder().tag(ConnectionUse.class, use).build());
    CompletableFuture<StepOutcome> answer = new CompletableFuture<>();
    http.enqueue(new StepCallback(answer));
    long now = System.nanoTime();
    long deadline = now + stepDeadline.toNanos();
    long readBy = now + FIRST_READ.toNanos();
    while (true) {
      try {
        return new Attempt(answer.get(QUIET.toMillis(), TimeUnit.MILLISECONDS), false);
      } catch (TimeoutException e) {
        boolean beingRead = use.newConnection && System.nanoTime() - readBy < 0;
        Attempt verdict = judge(target, call.requestId(), deadline, beingRead);
        if (verdict != null) {
          http.cancel();
          return verdict;
        }
      } catch (ExecutionException e) {
        return new Attempt(new StepOutcome.Failed(StepFailure.REJECTED), false);
      } catch (InterruptedException e) {
        http.cancel();
        throw e;
      }
    }
  }

  /** Returns what the silence of a step means, or null while the engine says that it runs it. */
  private @Nullable Attempt judge(
      TargetDescription target, String requestId, long deadline, boolean beingRead) {
    if (System.nanoTime() - deadline > 0) {
      return SILENT;
    }
    Probe probe = probe(target, requestId);
    return switch (probe) {
      case RUNNING -> null;
      case NOT_RUNNING -> beingRead ? null : CONNECTION_LOST;
      case REFUSED -> CRASHED;
      case SILENT -> SILENT;
    };
  }

  /** Whether a call made the connection that it went out on. */
  private static final class ConnectionUse {
    volatile boolean newConnection;
  }

  /** Notes on a call that a connection is made for it. */
  private static final class ConnectionListener extends EventListener {
    @Override
    public void connectStart(Call call, InetSocketAddress address, Proxy proxy) {
      ConnectionUse use = call.request().tag(ConnectionUse.class);
      if (use != null) {
        use.newConnection = true;
      }
    }
  }

  /** What an engine says on a new connection. */
  private enum Probe {
    /** It runs the step. */
    RUNNING,
    /** It answers, and does not run the step. */
    NOT_RUNNING,
    /** No process listens there any more. */
    REFUSED,
    /** Nothing answers. */
    SILENT;

    boolean answers() {
      return this == RUNNING || this == NOT_RUNNING;
    }
  }

  private Probe probe(TargetDescription target, String requestId) {
    OkHttpClient client = fresh.newBuilder().callTimeout(PROBE).build();
    Request request =
        new Request.Builder().url(target.address() + "/v1/health?request=" + requestId).build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return Probe.SILENT;
      }
      JsonNode health = mapper.readTree(response.body().byteStream());
      return health.path("running").asBoolean(false) ? Probe.RUNNING : Probe.NOT_RUNNING;
    } catch (ConnectException e) {
      return Probe.REFUSED;
    } catch (IOException e) {
      return Probe.SILENT;
    }
  }

  private ObjectNode stepBody(String model, StepCall call) {
    ObjectNode body =
        mapper
            .createObjectNode()
            .put("request", call.requestId())
            .put("attempt", call.attempt())
            .put("model", model)
            .put("first_position", call.firstPosition())
            .put("wants_token", call.wantsToken());
    body.putObject("layers")
        .put("from", call.stage().layers().from())
        .put("to", call.stage().layers().to());
    ArrayNode inputs = body.putArray("inputs");
    call.inputs().forEach(inputs::add);
    return body;
  }

  private Request post(TargetDescription target, String path, ObjectNode body) {
    return new Request.Builder()
        .url(target.address() + path)
        .post(RequestBody.create(body.toString(), JSON))
        .build();
  }

  private OkHttpClient clientOf(TargetDescription target) {
    return clients.computeIfAbsent(
        target.name(),
        key ->
            base.newBuilder()
                .connectionPool(
                    new ConnectionPool(
                        IDLE_CONNECTIONS_PER_TARGET,
                        IDLE_CONNECTION_KEPT.toMillis(),
                        TimeUnit.MILLISECONDS))
                .build());
  }

  private static List<String> texts(JsonNode array) {
    List<String> texts = new ArrayList<>();
    array.forEach(item -> texts.add(item.asText()));
    return texts;
  }

  private static StepFailure failure(IOException error) {
    if (error instanceof ConnectException) {
      return StepFailure.UNREACHABLE;
    }
    boolean timeout =
        error instanceof SocketTimeoutException || "timeout".equals(error.getMessage());
    return timeout ? StepFailure.SILENT : StepFailure.CRASHED;
  }

  private static final Callback IGNORE =
      new Callback() {
        @Override
        public void onFailure(Call call, IOException error) {
          // Cancelling is a courtesy: the engine drops idle requests by itself.
        }

        @Override
        public void onResponse(Call call, Response response) {
          response.close();
        }
      };

  /** Turns an HTTP answer into the outcome of a step. */
  private final class StepCallback implements Callback {
    private final CompletableFuture<StepOutcome> outcome;

    StepCallback(CompletableFuture<StepOutcome> outcome) {
      this.outcome = outcome;
    }

    @Override
    public void onFailure(Call call, IOException error) {
      outcome.complete(new StepOutcome.Failed(failure(error)));
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        outcome.complete(read(response));
      } catch (IOException e) {
        outcome.complete(new StepOutcome.Failed(failure(e)));
      } catch (RuntimeException e) {
        outcome.complete(new StepOutcome.Failed(StepFailure.REJECTED));
      }
    }

    private StepOutcome read(Response response) throws IOException {
      if (response.code() == HTTP_CONFLICT) {
        return new StepOutcome.Failed(StepFailure.CACHE_LOST);
      }
      if (!response.isSuccessful()) {
        return new StepOutcome.Failed(StepFailure.REJECTED);
      }
      JsonNode json = mapper.readTree(response.body().byteStream());
      JsonNode token = json.get("token");
      StepResult result =
          new StepResult(
              json.path("request").asText(),
              json.path("attempt").asInt(),
              json.path("first_position").asInt(),
              texts(json.path("outputs")),
              token == null || token.isNull() ? null : token.asText(),
              json.path("end_of_text").asBoolean(false));
      return new StepOutcome.Done(result, json.path("compute_seconds").asDouble(0));
    }
  }
}
