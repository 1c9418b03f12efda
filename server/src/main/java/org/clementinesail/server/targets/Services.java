package org.clementinesail.server.targets;

import java.util.Map;
import org.clementinesail.core.targets.TargetDescription;

/** What the server asks of plain services; {@link ServiceClient} speaks HTTP. */
public interface Services {

  /** What became of one attempt. */
  sealed interface Attempt {
    /**
     * The service answered.
     *
     * @param status HTTP status
     * @param contentType value of the Content-Type header, possibly empty
     * @param body body of the answer; not copied, not to be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, String contentType, byte[] body) implements Attempt {}

    /** Certainly not one byte was sent. */
    record NothingSent() implements Attempt {}

    /** Something may have been sent, and no whole answer came back. */
    record MaybeSent() implements Attempt {}
  }

  /**
   * Sends a call once.
   *
   * @param target the service's target
   * @param method HTTP method
   * @param path path and query, starting with a slash
   * @param headers headers to send
   * @param body body, possibly empty
   * @param newConnection whether to use a connection that has not been used before
   * @param deadline when to give up, in nanoseconds of the monotonic clock
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
