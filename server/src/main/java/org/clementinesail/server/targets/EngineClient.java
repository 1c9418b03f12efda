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
 * Calls engines over HTTP with JSON bodies.
 *
 * <p>While a step is unanswered, the client asks the engine on a new connection whether it runs the
 * step. This distinguishes a lost connection, a lost engine and a long step.
 */
public final class EngineClient implements Engines {
  private static final MediaType JSON = MediaType.get("application/json");

  /**
   * How long the client waits for an engine.
   *
   * @param probeInterval interval of probes while a step has no response
   * @param probeTimeout timeout of a probe
   * @param firstReadTimeout how long an engine may take to read the first request on a new
   *     connection before the connection counts as lost; a process that has just started is still
   *     loading classes
   */
  record Waits(Duration probeInterval, Duration probeTimeout, Duration firstReadTimeout) {
    static final Waits DEFAULT =
        new Waits(Duration.ofMillis(250), Duration.ofMillis(400), Duration.ofSeconds(2));
  }

  private static final int HTTP_CONFLICT = 409;
  private static final int MAX_IDLE_CONNECTIONS_PER_TARGET = 64;
  private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(30);

  private final ObjectMapper mapper;
  private final OkHttpClient baseClient;
  private final OkHttpClient newConnectionClient;
  private final Duration stepTimeout;
  private final Waits waits;
  private final Map<String, OkHttpClient> pooledClients = new ConcurrentHashMap<>();

  /**
   * Creates a client; connections are opened on demand.
   *
   * @param mapper reads and writes JSON
   * @param connectTimeout timeout for opening a connection
   * @param stepTimeout timeout of one call to an engine; a step that takes longer fails with {@link
   *     StepFailure#SILENT}
   */
  public EngineClient(ObjectMapper mapper, Duration connectTimeout, Duration stepTimeout) {
    this(mapper, connectTimeout, stepTimeout, Waits.DEFAULT);
  }

  EngineClient(ObjectMapper mapper, Duration connectTimeout, Duration stepTimeout, Waits waits) {
    this.mapper = mapper;
    this.stepTimeout = stepTimeout;
    this.waits = waits;
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(Integer.MAX_VALUE);
    dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
    this.baseClient =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(connectTimeout)
            .readTimeout(Duration.ZERO)
            .callTimeout(stepTimeout)
            .eventListenerFactory(call -> new ConnectionListener())
            .build();
    this.newConnectionClient =
        baseClient
            .newBuilder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .build();
  }

  @Override
  public StepOutcome step(String model, StepCall call, boolean newConnection)
      throws InterruptedException {
    TargetDescription target = call.stage().target();
    StepAttempt firstAttempt =
        sendStep(newConnection ? newConnectionClient : pooledClient(target), model, call);
    if (!firstAttempt.connectionLost()) {
      return firstAttempt.outcome();
    }
    pooledClients.remove(target.name());
    return sendStep(newConnectionClient, model, call).outcome();
  }

  @Override
  public boolean responds(TargetDescription target) {
    return probe(target, "").engineResponds();
  }

  @Override
  public @Nullable List<String> tokenize(TargetDescription target, String model, String text) {
    ObjectNode body = mapper.createObjectNode().put("model", model).put("text", text);
    try (Response response =
        newConnectionClient.newCall(post(target, "/v1/tokenize", body)).execute()) {
      if (!response.isSuccessful()) {
        return null;
      }
      return toStrings(mapper.readTree(response.body().byteStream()).path("tokens"));
    } catch (IOException e) {
      return null;
    }
  }

  @Override
  public void cancel(Stage stage, String requestId) {
    ObjectNode body = mapper.createObjectNode().put("request", requestId);
    pooledClient(stage.target())
        .newCall(post(stage.target(), "/v1/cancel", body))
        .enqueue(IGNORE_RESPONSE);
  }

  /**
   * Result of sending a step once.
   *
   * @param outcome outcome of the step
   * @param connectionLost whether the engine responds on a new connection but does not run the step
   */
  private record StepAttempt(StepOutcome outcome, boolean connectionLost) {}

  private static final StepAttempt SILENT =
      new StepAttempt(new StepOutcome.Failed(StepFailure.SILENT), false);
  private static final StepAttempt CRASHED =
      new StepAttempt(new StepOutcome.Failed(StepFailure.CRASHED), false);
  private static final StepAttempt CONNECTION_LOST =
      new StepAttempt(new StepOutcome.Failed(StepFailure.SILENT), true);

  private StepAttempt sendStep(OkHttpClient client, String model, StepCall call)
      throws InterruptedException {
    TargetDescription target = call.stage().target();
    ConnectionInfo connection = new ConnectionInfo();
    Request step = post(target, "/v1/step", stepBody(model, call));
    Call httpCall = client.newCall(step.newBuilder().tag(ConnectionInfo.class, connection).build());
    CompletableFuture<StepOutcome> answer = new CompletableFuture<>();
    httpCall.enqueue(new StepCallback(answer));
    long now = System.nanoTime();
    long deadline = now + stepTimeout.toNanos();
    long firstReadDeadline = now + waits.firstReadTimeout().toNanos();
    while (true) {
      try {
        return new StepAttempt(
            answer.get(waits.probeInterval().toMillis(), TimeUnit.MILLISECONDS), false);
      } catch (TimeoutException e) {
        boolean firstReadPending =
            connection.newConnection && System.nanoTime() - firstReadDeadline < 0;
        StepAttempt result = checkSilentStep(target, call.requestId(), deadline, firstReadPending);
        if (result != null) {
          httpCall.cancel();
          return result;
        }
      } catch (ExecutionException e) {
        return new StepAttempt(new StepOutcome.Failed(StepFailure.REJECTED), false);
      } catch (InterruptedException e) {
        httpCall.cancel();
        throw e;
      }
    }
  }

  /**
   * Returns the result of a step without a response, or null to keep waiting: the engine runs the
   * step, or may still be reading it from a new connection.
   */
  private @Nullable StepAttempt checkSilentStep(
      TargetDescription target, String requestId, long deadline, boolean firstReadPending) {
    if (System.nanoTime() - deadline > 0) {
      return SILENT;
    }
    ProbeResult probeResult = probe(target, requestId);
    return switch (probeResult) {
      case RUNNING -> null;
      case NOT_RUNNING -> firstReadPending ? null : CONNECTION_LOST;
      case REFUSED -> CRASHED;
      case SILENT -> SILENT;
    };
  }

  /** Records whether a call opened a new connection. */
  private static final class ConnectionInfo {
    volatile boolean newConnection;
  }

  /** Marks a call when a connection is opened for it. */
  private static final class ConnectionListener extends EventListener {
    @Override
    public void connectStart(Call call, InetSocketAddress address, Proxy proxy) {
      ConnectionInfo connection = call.request().tag(ConnectionInfo.class);
      if (connection != null) {
        connection.newConnection = true;
      }
    }
  }

  /** Result of a health request on a new connection. */
  private enum ProbeResult {
    /** The engine runs the step. */
    RUNNING,
    /** The engine responds and does not run the step. */
    NOT_RUNNING,
    /** The connection was refused: no process listens at the address. */
    REFUSED,
    /** No usable response within the probe timeout. */
    SILENT;

    boolean engineResponds() {
      return this == RUNNING || this == NOT_RUNNING;
    }
  }

  private ProbeResult probe(TargetDescription target, String requestId) {
    OkHttpClient client =
        newConnectionClient.newBuilder().callTimeout(waits.probeTimeout()).build();
    Request request =
        new Request.Builder().url(target.address() + "/v1/health?request=" + requestId).build();
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return ProbeResult.SILENT;
      }
      JsonNode health = mapper.readTree(response.body().byteStream());
      return health.path("running").asBoolean(false)
          ? ProbeResult.RUNNING
          : ProbeResult.NOT_RUNNING;
    } catch (ConnectException e) {
      return ProbeResult.REFUSED;
    } catch (IOException e) {
      return ProbeResult.SILENT;
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

  private OkHttpClient pooledClient(TargetDescription target) {
    return pooledClients.computeIfAbsent(
        target.name(),
        key ->
            baseClient
                .newBuilder()
                .connectionPool(
                    new ConnectionPool(
                        MAX_IDLE_CONNECTIONS_PER_TARGET,
                        IDLE_CONNECTION_TIMEOUT.toMillis(),
                        TimeUnit.MILLISECONDS))
                .build());
  }

  private static List<String> toStrings(JsonNode array) {
    List<String> texts = new ArrayList<>();
    array.forEach(item -> texts.add(item.asText()));
    return texts;
  }

  private static StepFailure toStepFailure(IOException error) {
    if (error instanceof ConnectException) {
      return StepFailure.UNREACHABLE;
    }
    boolean timeout =
        error instanceof SocketTimeoutException || "timeout".equals(error.getMessage());
    return timeout ? StepFailure.SILENT : StepFailure.CRASHED;
  }

  private static final Callback IGNORE_RESPONSE =
      new Callback() {
        @Override
        public void onFailure(Call call, IOException error) {
          // A lost cancellation is harmless: the engine drops idle requests by itself.
        }

        @Override
        public void onResponse(Call call, Response response) {
          response.close();
        }
      };

  /** Converts an HTTP response into the outcome of a step. */
  private final class StepCallback implements Callback {
    private final CompletableFuture<StepOutcome> outcome;

    StepCallback(CompletableFuture<StepOutcome> outcome) {
      this.outcome = outcome;
    }

    @Override
    public void onFailure(Call call, IOException error) {
      outcome.complete(new StepOutcome.Failed(toStepFailure(error)));
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        outcome.complete(read(response));
      } catch (IOException e) {
        outcome.complete(new StepOutcome.Failed(toStepFailure(e)));
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
              toStrings(json.path("outputs")),
              token == null || token.isNull() ? null : token.asText(),
              json.path("end_of_text").asBoolean(false));
      return new StepOutcome.Completed(result, json.path("compute_seconds").asDouble(0));
    }
  }
}
