package org.clementinesail.server.nodes;

import java.util.Optional;
import org.clementinesail.core.admission.RequestRank;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.fleet.ControlDialect;
import org.clementinesail.server.fleet.DocumentCompression;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.RoutingState;

/** Puts newer versions of the desired state in force on an entry VM. */
final class DesiredStates {
  private final RoutingState routing;
  private final ControlDialect dialect;
  private final DecisionLog log;

  DesiredStates(RoutingState routing, ControlDialect dialect, DecisionLog log) {
    this.routing = routing;
    this.dialect = dialect;
    this.log = log;
  }

  /** Puts a version in force unless the current one is as new; logs one that is invalid. */
  void receive(String vm, DesiredDocument document) {
    Optional<DesiredState> current = routing.desiredState();
    if (current.isPresent() && document.version() <= current.get().version()) {
      return;
    }
    DesiredState.CheckResult checked =
        dialect.checkDesired(DocumentCompression.decompress(document));
    if (checked instanceof DesiredState.Valid valid && routing.desiredState(valid.state())) {
      log.write("desired state in force", "version", document.version(), "from", vm);
      logOddPriorities(valid.state());
    } else if (checked instanceof DesiredState.Invalid invalid) {
      log.write(
          "accepted desired state is invalid",
          "version",
          document.version(),
          "reason",
          invalid.reason());
    }
  }

  private void logOddPriorities(DesiredState state) {
    for (var odd : RequestRank.oddPriorities(state.routes(), state.workspaces())) {
      log.write("priority is no rank from 0 to 9", "field", odd.field(), "value", odd.value());
    }
  }
}
