package org.clementinesail.server.proxy;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.clementinesail.core.fleet.LostAnswerDetector;
import org.clementinesail.core.fleet.StallProbeScheduler;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.paths.Hop;
import org.clementinesail.server.logging.DecisionLog;

/**
 * Detects targets that stall or lose responses, and marks them suspect, so that requests avoid them
 * for a time.
 */
final class FaultDetector {
  /** How long a faulty target is suspect; about as long as a crashed one takes to return. */
  private static final long SUSPECT_DURATION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * A response is stalled if it pauses longer than this plus 1.5 times its usual pause. Callers
   * notice pauses of 200 ms; probing the engines and starting on another path take about 100 ms of
   * that.
   */
  private static final long MIN_EXTRA_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private final RoutingState routing;
  private final EngineProbe probe;
  private final ListenerCheck listenerCheck;
  private final ReachabilityChecks checks;
  private final DecisionLog log;
  private final StallProbeScheduler probeScheduler = new StallProbeScheduler();
  private final LostAnswerDetector lostResponses = new LostAnswerDetector();

  FaultDetector(
      RoutingState routing,
      EngineProbe probe,
      ListenerCheck listenerCheck,
      ReachabilityChecks checks,
      DecisionLog log) {
    this.routing = routing;
    this.probe = probe;
    this.listenerCheck = listenerCheck;
    this.checks = checks;
    this.log = log;
  }

  /**
   * Returns whether a response has stalled on a path with a suspect engine. If it has stalled but
   * no engine is suspect, probes the engines of the path as the scheduler allows: the first one
   * reports which others it waits for, but only about 200 ms later, while a crashed engine refuses
   * the connection at once.
   */
  boolean shouldSwitchPath(List<Hop> path, long pauseNanos, long usualPauseNanos) {
    if (pauseNanos <= MIN_EXTRA_PAUSE_NANOS + usualPauseNanos * 3 / 2) {
      return false;
    }
    boolean atFault = !suspects(path).isEmpty();
    if (!atFault) {
      probeEngines(path);
    }
    return atFault;
  }

  /** Returns whether a target is suspect or unknown. */
  boolean isSuspect(String id) {
    long now = System.nanoTime();
    return routing.fleet().member(id).map(m -> m.isSuspect(now)).orElse(true);
  }

  /** Returns the ids of the engines of a path that are suspect or unknown. */
  Set<String> suspects(List<Hop> path) {
    return path.stream().map(Hop::id).filter(this::isSuspect).collect(Collectors.toSet());
  }

  private void probeEngines(List<Hop> path) {
    List<String> ids = path.stream().map(Hop::id).toList();
    List<String> due =
        probeScheduler.select(ids, routing.fleet().size(), routing.trafficVms(), System.nanoTime());
    for (Hop hop : path) {
      if (due.contains(hop.id())) {
        probe.requestReport(hop.id(), hop.address(), result -> onProbeResult(hop.id(), result));
      }
    }
  }

  /**
   * Checks whether an engine that lost a request has ended, and marks it suspect if so.
   *
   * @param onChecked receives whether it gives no report any more
   */
  void checkEngine(TargetStatement target, Consumer<Boolean> onChecked) {
    probe.awaitReport(
        target.id(),
        target.address(),
        result -> {
          onProbeResult(target.id(), result);
          onChecked.accept(result instanceof EngineProbe.Failed);
        });
  }

  /**
   * Checks whether a target without reports that lost a request has ended, and marks it suspect if
   * so.
   *
   * @param maxAgeNanos maximum age in nanoseconds of an earlier result that is used
   * @param onChecked receives whether it refuses connections
   */
  void checkListener(TargetStatement target, long maxAgeNanos, Consumer<Boolean> onChecked) {
    listenerCheck.check(
        target.address(),
        maxAgeNanos,
        outcome -> {
          boolean ended = outcome == ListenerCheck.Outcome.REFUSES;
          if (ended && !isSuspect(target.id())) {
            markSuspect(target.address(), "it refuses connections");
          }
          onChecked.accept(ended);
        });
  }

  /**
   * Finds out whether this VM reaches any target, so that it can tell the end of one from a cut of
   * its own links.
   *
   * @param onChecked receives whether it does
   */
  void confirmLinks(Consumer<Boolean> onChecked) {
    checks.confirmAny(onChecked);
  }

  private void onProbeResult(String id, EngineProbe.Result result) {
    long now = System.nanoTime();
    if (result instanceof EngineProbe.Failed failed) {
      log.write("engine silent", "target", id, "reason", failed.reason());
      routing.recordReport(failed.report(), now + SUSPECT_DURATION_NANOS);
      routing.fleet().member(id).ifPresent(member -> checks.check(member.statement().service()));
    } else if (result instanceof EngineProbe.Reported reported) {
      routing.recordReport(reported.detail().report(), now);
      reported
          .detail()
          .stalls()
          .forEach(s -> markSuspect(s.address(), "other engines wait for it"));
    }
  }

  /** Records a lost response, and marks the target suspect if it loses responses repeatedly. */
  void recordLostResponse(TargetStatement target) {
    long nanos = lostResponses.recordLoss(target.id(), System.nanoTime());
    if (nanos > 0) {
      markSuspect(target.address(), "it loses responses", nanos);
    }
  }

  /** Marks the target at an address suspect; does nothing if no target is known there. */
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
