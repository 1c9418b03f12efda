package org.clementinesail.server.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.LostAnswerDetector;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.server.logging.DecisionLog;

/** Finds the target that holds requests up, and sets it aside for a while. */
final class FaultFinder {
  /** How long a target at fault is set aside; about the time that a crashed one is away. */
  private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * What a pause must be above one and a half times the usual one of its answer before the engines
   * on the path are asked, and the answer moves away from one that is at fault. Callers notice
   * pauses of 200 ms; asking and starting elsewhere take about 100 ms of that.
   */
  private static final long ASK_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** Shortest time between two questions to one engine. */
  private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final RoutingState routing;
  private final EngineProbe probe;
  private final DecisionLog log;
  private final Map<String, Long> askedAt = new HashMap<>();
  private final LostAnswerDetector lostAnswers = new LostAnswerDetector();

  FaultFinder(RoutingState routing, EngineProbe probe, DecisionLog log) {
    this.routing = routing;
    this.probe = probe;
    this.log = log;
  }

  /**
   * Returns whether an answer that pauses should move away from its path; asks the engines on it
   * where it is not known yet which one is at fault. The first engine says which others it waits
   * for, but only some 200 ms late; one that has crashed refuses the question at once.
   */
  boolean stuck(List<Hop> path, long pauseNanos, long usualPauseNanos) {
    if (pauseNanos <= ASK_AFTER_NANOS + usualPauseNanos * 3 / 2) {
      return false;
    }
    boolean atFault = path.stream().anyMatch(hop -> suspect(hop.id()));
    if (!atFault) {
      path.forEach(this::ask);
    }
    return atFault;
  }

  /** Returns whether a target is set aside or unknown. */
  boolean suspect(String id) {
    long now = System.nanoTime();
    return routing.fleet().member(id).map(m -> m.isSuspect(now)).orElse(true);
  }

  private void ask(Hop hop) {
    long now = System.nanoTime();
    Long last = askedAt.get(hop.id());
    if (last != null && now - last < ASK_AGAIN_NANOS) {
      return;
    }
    askedAt.values().removeIf(at -> now - at >= ASK_AGAIN_NANOS);
    askedAt.put(hop.id(), now);
    probe.ask(hop.id(), hop.address(), answer -> learned(hop, answer));
  }

  private void learned(Hop hop, EngineProbe.Answer answer) {
    long now = System.nanoTime();
    if (answer instanceof EngineProbe.Silent silent) {
      log.write("engine silent", "target", hop.id(), "reason", silent.reason());
      routing.reported(silent.report(), now + SUSPECT_NANOS);
    } else if (answer instanceof EngineProbe.Reported reported) {
      routing.reported(reported.detail().report(), now);
      reported.detail().stalls().forEach(s -> blame(s.address(), "requests are stuck behind it"));
    }
  }

  /** Notes that a target has lost an answer, and sets it aside if it does so often. */
  void lostAnswer(TargetStatement target) {
    long nanos = lostAnswers.recordLoss(target.id(), System.nanoTime());
    if (nanos > 0) {
      blame(target.address(), "it loses answers", nanos);
    }
  }

  /** Sets the target at an address aside. */
  void blame(String address, String reason) {
    blame(address, reason, SUSPECT_NANOS);
  }

  private void blame(String address, String reason, long nanos) {
    long now = System.nanoTime();
    routing
        .fleet()
        .latestAt(address)
        .ifPresent(
            member -> {
              String id = member.statement().id();
              if (!member.isSuspect(now)) {
                log.write("target set aside", "target", id, "reason", reason);
              }
              routing.fleet().markSuspect(id, now + nanos);
            });
  }
}
