package org.clementinesail.server.fleet;

import io.netty.handler.codec.http.FullHttpRequest;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.fleet.TargetStatement;

/** Paths and formats of the calls that targets and operators make to control VMs. */
public interface ControlDialect {

  /** A parsed call. */
  sealed interface Call {}

  /**
   * A target reports its state.
   *
   * @param statement the reported state
   */
  record Heartbeat(TargetStatement statement) implements Call {}

  /**
   * A target deregisters before it stops.
   *
   * @param statement the target with phase {@link TargetStatement.Phase#GONE}; its start is 0 if
   *     the target did not state it
   */
  record Deregistration(TargetStatement statement) implements Call {}

  /** An operator submits a version of the desired state in the request body. */
  record PutDesired() implements Call {}

  /** An operator reads the accepted desired state. */
  record ReadDesired() implements Call {}

  /** The call has none of the known paths; it is answered with status 404. */
  record Unknown() implements Call {}

  /**
   * Parses a call.
   *
   * @param request request with its whole body; not released
   * @return the call; {@link Unknown} if no path matches
   * @throws org.clementinesail.server.proxy.MalformedMessageException if the body cannot be parsed
   */
  Call read(FullHttpRequest request);

  /**
   * Parses and validates a version of the desired state.
   *
   * @param document request body as the operator sent it, not compressed
   * @return the desired state, or the reason why it is invalid
   */
  DesiredState.CheckResult checkDesired(byte[] document);
}
