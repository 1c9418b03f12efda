package org.clementinesail.server.requests;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A caller's call to a service.
 *
 * @param requestId id of the request
 * @param workspace workspace of the caller
 * @param service service name
 * @param method HTTP method
 * @param path path and query within the service, starting with a slash
 * @param headers headers to pass on
 * @param body body, possibly empty; not copied, not to be changed
 * @param idempotencyKey value of the Idempotency-Key header, or null
 * @param preferredDataCentre data centre to prefer, or null
 * @param deadline when to give up, in nanoseconds of the monotonic clock
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

  /** Returns a digest of service, method, path and body. */
  public String digest() {
    Hasher hasher = Hashing.sha256().newHasher();
    hasher.putString(service + '\n' + method + '\n' + path + '\n', StandardCharsets.UTF_8);
    return hasher.putBytes(body).hash().toString();
  }
}
