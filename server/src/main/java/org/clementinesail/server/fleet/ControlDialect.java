package org.clementinesail.server.fleet;

import io.netty.handler.codec.http.FullHttpRequest;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.fleet.TargetStatement;

/** Paths and formats of the calls that targets and operators make to control VMs. */
public interface ControlDialect {

  /** What a call asks for. */
  sealed interface Call {}

  /**
   * A target says how it is.
   *
   * @param statement what it says
   */
  record Heartbeat(TargetStatement statement) implements Call {}

  /**
   * A target says goodbye.
   *
   * @param id identity of the target
   */
  record Deregistration(String id) implements Call {}

  /** An operator sends a version of the desired state, which is the body. */
  record PutDesired() implements Call {}

  /** An operator reads the desired state. */
  record ReadDesired() implements Call {}

  /** The call is none of these. */
  record Unknown() implements Call {}

  /**
   * Reads a call.
   *
   * @param request the call
   * @throws org.clementinesail.server.proxy.MalformedMessageException if its body cannot be read
   */
  Call read(FullHttpRequest request);

  /**
   * Reads and checks a version of the desired state.
   *
   * @param document the document as the operator sent it
   */
  DesiredState.CheckResult checkDesired(byte[] document);
}
