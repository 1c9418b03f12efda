package org.clementinesail.server.requests;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A caller's HTTP request to a service.
 *
 * @param requestId request id, used in logs
 * @param workspace workspace of the caller
 * @param service name of the service
 * @param method HTTP method
 * @param path path and query as the service sees them, starting with a slash
 * @param headers headers to forward to the service
 * @param body request body, possibly empty; not copied, must not be modified
 * @param idempotencyKey value of the Idempotency-Key header, or null
 * @param preferredDataCentre data centre whose targets are preferred, or null
 * @param deadline time at which the call fails, as a {@link System#nanoTime} value
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
    String requestId,
    String workspace,
    String service,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    @Nullable String idempotencyKey,
    @Nullable String preferredDataCentre,
    long deadline) {

  /** Returns a SHA-256 of service, method, path and body. */
  public String digest() {
    Hasher hasher = Hashing.sha256().newHasher();
    hasher.putString(service + '\n' + method + '\n' + path + '\n', StandardCharsets.UTF_8);
    return hasher.putBytes(body).hash().toString();
  }
}
