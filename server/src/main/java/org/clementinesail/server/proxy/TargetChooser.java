package org.clementinesail.server.proxy;

import java.util.OptionalDouble;
import java.util.Set;
import org.clementinesail.core.desired.Service;

/** Decides where one request is sent next, or why it is not sent. */
final class TargetChooser {
  private final ProxyContext context;
  private final RequestMetadata metadata;
  private final PartGuard partGuard;
  private final Set<String> excludedTargets;

  /** What happens next with a request. */
  sealed interface Decision {}

  /** The request is sent to a destination. */
  record Send(RoutingState.Destination destination) implements Decision {}

  /** The request waits for a target. */
  record Await() implements Decision {}

  /**
   * The request ends.
   *
   * @param reason description for the log
   * @param retryAfterSeconds delay for the caller in seconds, if it has not run
   */
  record GiveUp(String reason, double retryAfterSeconds) implements Decision {}

  /**
   * Creates a chooser for one request.
   *
   * @param context shared objects of the server
   * @param metadata values of the request's headers
   * @param partGuard tells whether the request would crash targets
   * @param excludedTargets ids of targets that do not get the request; changed by the caller
   */
  TargetChooser(
      ProxyContext context,
      RequestMetadata metadata,
      PartGuard partGuard,
      Set<String> excludedTargets) {
    this.context = context;
    this.metadata = metadata;
    this.partGuard = partGuard;
    this.excludedTargets = excludedTargets;
  }

  /**
   * Returns what happens next.
   *
   * @param service service of the request
   * @param begun whether a part of the response has been sent, so that no refusal is possible
   * @param resolvedAt when the request began, in nanoseconds of the monotonic clock
   * @param now current time on the same clock
   */
  Decision choose(Service service, boolean begun, long resolvedAt, long now) {
    OptionalDouble refusedSeconds = partGuard.refusedSeconds(now);
    if (refusedSeconds.isPresent()) {
      String reason = "the request or a part of it crashes targets";
      return new GiveUp(reason, refusedSeconds.getAsDouble());
    }
    var choice = context.routing().chooseDestination(service, metadata, excludedTargets, now);
    return choice.isPresent()
        ? new Send(choice.get())
        : withoutTarget(service, begun, resolvedAt, now);
  }

  private Decision withoutTarget(Service service, boolean begun, long resolvedAt, long now) {
    OptionalDouble deferral = context.routing().deferralSeconds(service, metadata, now);
    boolean mayWait = deferral.isEmpty() && now - resolvedAt < RoutingState.MAX_TARGET_WAIT_NANOS;
    if (begun || mayWait) {
      return new Await();
    }
    return deferral.isPresent()
        ? new GiveUp("the targets take no more requests for now", deferral.getAsDouble())
        : new GiveUp("no target is available", RetryAfter.SECONDS);
  }
}
