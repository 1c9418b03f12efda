package org.clementinesail.server.targets;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import org.clementinesail.core.targets.TargetDescription;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to services over HTTP.
 *
 * <p>Retries and redirects of the HTTP library are disabled. A call that must not be repeated is
 * sent on a new connection, since a reused one may have been lost without notice. Each call is
 * written to the network at most once: a second write for the same call fails before its first
 * byte.
 */
public final class ServiceClient implements Services {
  private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH", "DELETE");

  private final OkHttpClient pooledClient;
  private final OkHttpClient newConnectionClient;

  /**
   * Creates a client; connections are opened on demand.
   *
   * @param connectTimeout timeout for opening a connection
   */
  public ServiceClient(Duration connectTimeout) {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(Integer.MAX_VALUE);
    dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
    this.pooledClient =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(connectTimeout)
            .readTimeout(Duration.ZERO)
            .writeTimeout(Duration.ZERO)
            .addNetworkInterceptor(
                chain -> {
                  SentFlag.of(chain.request()).set();
                  Response response = chain.proceed(chain.request());
                  // The library resends the request after a 503 response with Retry-After: 0.
                  return response.newBuilder().removeHeader("Retry-After").build();
                })
            .build();
    this.newConnectionClient =
        pooledClient
            .newBuilder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .build();
  }

  @Override
  public Attempt send(
      TargetDescription target,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      boolean newConnection,
      long deadline) {
    long remainingNanos = deadline - System.nanoTime();
    if (remainingNanos <= 0) {
      return new Attempt.NothingSent();
    }
    SentFlag sentFlag = new SentFlag();
    Request.Builder request =
        new Request.Builder()
            .url(target.address() + path)
            .tag(SentFlag.class, sentFlag)
            .method(method, requestBody(method, headers, body));
    headers.forEach(request::header);
    Call call = (newConnection ? newConnectionClient : pooledClient).newCall(request.build());
    call.timeout().timeout(remainingNanos, TimeUnit.NANOSECONDS);
    try (Response response = call.execute()) {
      String type = response.header("Content-Type", "");
      return new Attempt.Answered(
          response.code(), type == null ? "" : type, response.body().bytes());
    } catch (IOException e) {
      return sentFlag.isSet() ? new Attempt.MaybeSent() : new Attempt.NothingSent();
    }
  }

  private static @Nullable RequestBody requestBody(
      String method, Map<String, String> headers, byte[] body) {
    if (!METHODS_WITH_BODY.contains(method)) {
      return null;
    }
    String type = headers.get("Content-Type");
    return new OneShotBody(body, type == null ? null : MediaType.parse(type));
  }

  /** Set once, before the first byte of a call is written to the network. */
  private static final class SentFlag {
    private final AtomicBoolean sent = new AtomicBoolean();

    static SentFlag of(Request request) throws IOException {
      SentFlag flag = request.tag(SentFlag.class);
      if (flag == null) {
        throw new IOException("call has no SentFlag tag; it is not sent");
      }
      return flag;
    }

    void set() throws IOException {
      if (sent.getAndSet(true)) {
        throw new IOException("call was already sent; it must not be sent twice");
      }
    }

    boolean isSet() {
      return sent.get();
    }
  }

  /** A request body that the library must not send again. */
  private static final class OneShotBody extends RequestBody {
    private final byte[] bytes;
    private final @Nullable MediaType type;

    OneShotBody(byte[] bytes, @Nullable MediaType type) {
      this.bytes = bytes;
      this.type = type;
    }

    @Override
    public @Nullable MediaType contentType() {
      return type;
    }

    @Override
    public long contentLength() {
      return bytes.length;
    }

    @Override
    public boolean isOneShot() {
      return true;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
      sink.write(bytes);
    }
  }
}
