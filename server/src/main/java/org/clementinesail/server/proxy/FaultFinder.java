package org.clementinesail.server.proxy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.server.logging.DecisionLog;

/** Finds the target that holds requests up, and sets it aside for a while. */
final class FaultFinder {
  /** How long a target at fault is set aside; about the time that a crashed one is away. */
  private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Pause in an answer after which its first engine is asked whether it is stuck. */
  private static final long ASK_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  /** Pause in an answer after which it moves away from a target that is known to be stuck. */
  private static final long MOVE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final RoutingState routing;
  private final EngineProbe probe;
  private final DecisionLog log;

  FaultFinder(RoutingState routing, EngineProbe probe, DecisionLog log) {
    this.routing = routing;
    this.probe = probe;
    this.log = log;
  }

  /**
   * Returns whether an answer that pauses should move away from its path; asks the first engine
   * where it is not known yet which one is at fault.
   */
  boolean stuck(List<Hop> path, long pauseNanos) {
    boolean atFault = path.stream().anyMatch(hop -> suspect(hop.id()));
    if (pauseNanos > ASK_AFTER_NANOS && !atFault) {
      ask(path.get(0));
    }
    return pauseNanos > MOVE_AFTER_NANOS && atFault;
  }

  /** Returns whether a target is set aside or unknown. */
  boolean suspect(String id) {
    long now = System.nanoTime();
    return routing.fleet().member(id).map(m -> m.suspect(now)).orElse(true);
  }

  /** Asks the first engine of a path which other engine it waits for. */
  private void ask(Hop first) {
    probe.ask(first.id(), first.address(), answer -> learned(first, answer));
  }

  private void learned(Hop first, EngineProbe.Answer answer) {
    long now = System.nanoTime();
    if (answer instanceof EngineProbe.Silent silent) {
      log.write("engine silent", "target", first.id(), "reason", silent.reason());
      routing.reported(silent.report(), now + SUSPECT_NANOS);
    } else if (answer instanceof EngineProbe.Reported reported) {
      routing.reported(reported.detail().report(), now);
      reported.detail().stalls().forEach(s -> blame(s.address(), "requests are stuck behind it"));
    }
  }

  /** Sets the target at an address aside. */
  void blame(String address, String reason) {
    long now = System.nanoTime();
    routing
        .fleet()
        .at(address)
        .ifPresent(
            member -> {
              String id = member.statement().id();
              if (!member.suspect(now)) {
                log.write("target set aside", "target", id, "reason", reason);
              }
              routing.fleet().suspect(id, now + SUSPECT_NANOS);
            });
  }
}
