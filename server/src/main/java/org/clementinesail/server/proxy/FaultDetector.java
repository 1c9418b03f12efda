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
final class FaultDetector {
  /** How long a target at fault is set aside; about the time that a crashed one is away. */
  private static final long SUSPECT_DURATION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * What a pause must be above one and a half times the usual one of its answer before the engines
   * on the path are asked, and the answer moves away from one that is at fault. Callers notice
   * pauses of 200 ms; asking and starting elsewhere take about 100 ms of that.
   */
  private static final long MIN_EXTRA_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** Shortest time between two questions to one engine. */
  private static final long MIN_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final RoutingState routing;
  private final EngineProbe probe;
  private final DecisionLog log;
  private final Map<String, Long> probedAt = new HashMap<>();
  private final LostAnswerDetector lostResponses = new LostAnswerDetector();

  FaultDetector(RoutingState routing, EngineProbe probe, DecisionLog log) {
    this.routing = routing;
    this.probe = probe;
    this.log = log;
  }

  /**
   * Returns whether an answer that pauses should move away from its path; asks the engines on it
   * where it is not known yet which one is at fault. The first engine says which others it waits
   * for, but only some 200 ms late; one that has crashed refuses the question at once.
   */
  boolean shouldSwitchPath(List<Hop> path, long pauseNanos, long usualPauseNanos) {
    if (pauseNanos <= MIN_EXTRA_PAUSE_NANOS + usualPauseNanos * 3 / 2) {
      return false;
    }
    boolean atFault = path.stream().anyMatch(hop -> isSuspect(hop.id()));
    if (!atFault) {
      path.forEach(this::probeEngine);
    }
    return atFault;
  }

  /** Returns whether a target is set aside or unknown. */
  boolean isSuspect(String id) {
    long now = System.nanoTime();
    return routing.fleet().member(id).map(m -> m.isSuspect(now)).orElse(true);
  }

  private void probeEngine(Hop hop) {
    long now = System.nanoTime();
    Long last = probedAt.get(hop.id());
    if (last != null && now - last < MIN_PROBE_INTERVAL_NANOS) {
      return;
    }
    probedAt.values().removeIf(at -> now - at >= MIN_PROBE_INTERVAL_NANOS);
    probedAt.put(hop.id(), now);
    probe.requestReport(hop.id(), hop.address(), answer -> onProbeResult(hop, answer));
  }

  private void onProbeResult(Hop hop, EngineProbe.Result result) {
    long now = System.nanoTime();
    if (result instanceof EngineProbe.Failed failed) {
      log.write("engine silent", "target", hop.id(), "reason", failed.reason());
      routing.recordReport(failed.report(), now + SUSPECT_DURATION_NANOS);
    } else if (result instanceof EngineProbe.Reported reported) {
      routing.recordReport(reported.detail().report(), now);
      reported
          .detail()
          .stalls()
          .forEach(s -> markSuspect(s.address(), "requests are stuck behind it"));
    }
  }

  /** Notes that a target has lost an answer, and sets it aside if it does so often. */
  void recordLostResponse(TargetStatement target) {
    long nanos = lostResponses.recordLoss(target.id(), System.nanoTime());
    if (nanos > 0) {
      markSuspect(target.address(), "it loses answers", nanos);
    }
  }

  /** Sets the target at an address aside. */
  void markSuspect(String address, String reason) {
    markSuspect(address, reason, SUSPECT_DURATION_NANOS);
  }

  private void markSuspect(String address, String reason, long nanos) {
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
