package org.clementinesail.server.proxy;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.reachability.PeerVm;

/** Decides where one request is sent next, or why it is not sent. */
final class TargetChooser {
  private final ProxyContext context;
  private final RequestMetadata metadata;
  private final PartGuard partGuard;
  private final AttemptCounts counts;
  private final Set<String> excludedTargets;
  private final AdmissionTicket ticket;

  /** What happens next with a request. */
  sealed interface Decision {}

  /** The request is sent to a destination. */
  record Send(Destination destination) implements Decision {}

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
   * @param counts counts of the request's attempts
   * @param excludedTargets ids of targets that do not get the request; changed by the caller
   * @param ticket place of the request among those that wait for targets of its service
   */
  TargetChooser(
      ProxyContext context,
      RequestMetadata metadata,
      PartGuard partGuard,
      AttemptCounts counts,
      Set<String> excludedTargets,
      AdmissionTicket ticket) {
    this.context = context;
    this.metadata = metadata;
    this.partGuard = partGuard;
    this.counts = counts;
    this.excludedTargets = excludedTargets;
    this.ticket = ticket;
  }

  /**
   * Returns what happens next.
   *
   * @param service service of the request
   * @param begun whether a part of the response has been sent, so that no refusal is possible
   * @param now current time in nanoseconds of the monotonic clock
   */
  Decision choose(Service service, boolean begun, long now) {
    OptionalDouble refusedSeconds = partGuard.refusedSeconds(now);
    if (refusedSeconds.isPresent()) {
      String reason = "the request or a part of it crashes targets";
      return new GiveUp(reason, refusedSeconds.getAsDouble());
    }
    if (context.relayed() && context.peers().isCutOff(service)) {
      return new GiveUp("this VM is cut off from the service too", RetryAfter.STOP_SECONDS);
    }
    boolean turn = begun || ticket.mayTry(now) || skipsQueue(service, now);
    Optional<Destination> choice = turn ? chooseDestination(service, now) : Optional.empty();
    return choice.isPresent() ? new Send(choice.get()) : withoutDestination(service, begun, now);
  }

  /** Returns whether other VMs get the request, or no target takes it, so that no queue helps. */
  private boolean skipsQueue(Service service, long now) {
    return isCutOff(service)
        || context.routing().deferralSeconds(service, metadata, now).isPresent();
  }

  private Optional<Destination> chooseDestination(Service service, long now) {
    if (isCutOff(service)) {
      return choosePeer(service, now);
    }
    Optional<Destination> peer =
        !context.relayed() && context.peers().isBetter(counts)
            ? choosePeer(service, now)
            : Optional.empty();
    return peer.isPresent() ? peer : chooseTarget(service, now);
  }

  private boolean isCutOff(Service service) {
    return !context.relayed() && context.peers().isCutOff(service);
  }

  private Optional<Destination> choosePeer(Service service, long now) {
    return context.peers().choose(service, excludedTargets, now);
  }

  private Optional<Destination> chooseTarget(Service service, long now) {
    var target = context.routing().chooseDestination(service, metadata, excludedTargets, now);
    boolean peerMayHelp = !context.relayed() && context.peers().mayHelp(service, now);
    return target.isEmpty() && peerMayHelp ? choosePeer(service, now) : target;
  }

  /** Returns where an attempt was sent, target or other VM, or empty if that takes none now. */
  Optional<Destination> chooseAgain(Service service, Attempt from, long now) {
    PeerVm peer = from.peer();
    return peer == null
        ? context.routing().sameDestination(service.name(), from.target().id(), from.path(), now)
        : context.peers().chooseAgain(service, peer, now);
  }

  /** Takes a retry from the budget if there is one and a destination; returns the destination. */
  Optional<Destination> acquireRetry(Service service, long now) {
    return context.routing().acquireRetry(service, () -> chooseDestination(service, now));
  }

  /** Returns whether there is a retry in the budget, and a destination for it. */
  boolean hasRetry(String service, long now) {
    return context.routing().retryBudget(service).hasRetry()
        && context
            .routing()
            .desiredState()
            .flatMap(state -> state.service(service))
            .flatMap(known -> chooseDestination(known, now))
            .isPresent();
  }

  private Decision withoutDestination(Service service, boolean begun, long now) {
    OptionalDouble deferral = context.routing().deferralSeconds(service, metadata, now);
    boolean noPeerLeft = isCutOff(service) && !context.peers().isEmpty();
    boolean mayWait = deferral.isEmpty() && !noPeerLeft;
    if (begun || (mayWait && ticket.await(now))) {
      return new Await();
    }
    if (deferral.isPresent()) {
      double seconds = Math.max(deferral.getAsDouble(), RetryAfter.least(context));
      return new GiveUp("the targets take no more requests for now", seconds);
    }
    if (context.relayed() && context.routing().fleet().ready(service.name(), now).isEmpty()) {
      return new GiveUp("this VM knows no target", RetryAfter.STOP_SECONDS);
    }
    String gaps = context.routing().describeGaps(service, metadata, excludedTargets, now);
    String reason = "no target is available" + (gaps.isEmpty() ? "" : ": " + gaps);
    return new GiveUp(reason + ticket.describe(now), ticket.retryAfterSeconds(now));
  }
}
