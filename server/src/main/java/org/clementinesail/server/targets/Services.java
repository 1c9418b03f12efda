package org.clementinesail.server.targets;

import java.util.Map;
import org.clementinesail.core.targets.TargetDescription;

/** Calls to services; {@link ServiceClient} implements them over HTTP. */
public interface Services {

  /** Result of sending a call once. */
  sealed interface Attempt {
    /**
     * The service answered.
     *
     * @param status HTTP status of the response
     * @param contentType value of the Content-Type header, possibly empty
     * @param body response body; not copied, must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, String contentType, byte[] body) implements Attempt {}

    /** No byte of the call was sent. */
    record NothingSent() implements Attempt {}

    /** Part or all of the call may have been sent, but no complete response came back. */
    record MaybeSent() implements Attempt {}
  }

  /**
   * Sends a call once and waits for the response.
   *
   * @param target target of the service
   * @param method HTTP method
   * @param path path and query, starting with a slash
   * @param headers request headers
   * @param body request body, possibly empty
   * @param newConnection whether to open a new connection instead of reusing one
   * @param deadline time at which the call is cancelled, as a {@link System#nanoTime} value;
   *     nothing is sent if it has passed
   */
  Attempt send(
      TargetDescription target,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      boolean newConnection,
      long deadline);
}
