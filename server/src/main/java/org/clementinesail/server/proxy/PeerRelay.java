package org.clementinesail.server.proxy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.reachability.PeerPicker;
import org.clementinesail.core.reachability.PeerVm;
import org.jspecify.annotations.Nullable;

/**
 * Chooses other VMs that serve requests while this VM does not reach the targets. Confined to the
 * event loop.
 */
public final class PeerRelay {
  /** Failed connects of one request after which another VM gets it. */
  private static final int MAX_FAILED_CONNECTS = 2;

  private final PeerPicker peers;
  private final ReachabilityChecks checks;
  private final PeerWatch watch;

  PeerRelay(PeerPicker peers, ReachabilityChecks checks, PeerWatch watch) {
    this.peers = peers;
    this.checks = checks;
    this.watch = watch;
  }

  /**
   * Replaces the known VMs.
   *
   * @param next VMs that reach their targets, as far as the control VMs know
   */
  public void peers(List<PeerVm> next) {
    peers.peers(next);
  }

  /** Returns the checks of whether this VM reaches its targets. */
  public ReachabilityChecks checks() {
    return checks;
  }

  /** Returns whether this VM reaches no target of a service. */
  boolean isCutOff(Service service) {
    return checks.reachability().isCutOff(service.name());
  }

  /** Returns whether an attempt is one at a target of a service that this VM is cut off from. */
  boolean isCutOff(Attempt attempt) {
    return attempt.peer() == null && checks.reachability().isCutOff(attempt.target().service());
  }

  /**
   * Lets time pass for the VMs that have requests of this one.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  void tick(long now) {
    watch.tick(now);
  }

  /** Returns whether no VM has requests of this one, nor a connection that is to be closed. */
  boolean isQuiet() {
    return watch.isQuiet();
  }

  /**
   * Returns whether the VM that serves an attempt has frozen, or the target of an attempt is silent
   * because this VM is cut off from its service. If no target of the service sends anything, checks
   * whether it is.
   */
  boolean isSilenced(Attempt attempt, long now) {
    String service = attempt.target().service();
    PeerVm peer = attempt.peer();
    if (peer != null) {
      return watch.isFrozen(peer);
    }
    if (!checks.reachability().isSilent(service, attempt.lastProgressAt(), now)) {
      return false;
    }
    checks.check(service);
    return checks.reachability().isCutOff(service);
  }

  /** Records that a part of a response has arrived. */
  void recordHeard(Attempt from) {
    PeerVm peer = from.peer();
    if (peer == null) {
      checks.reachability().recordHeard(from.target().service(), System.nanoTime());
    } else {
      watch.recordHeard(peer);
    }
  }

  /** Returns whether no other VM is known yet. */
  boolean isEmpty() {
    return peers.isEmpty();
  }

  /** Returns whether a request has failed to connect so often that another VM should get it. */
  boolean isBetter(AttemptCounts counts) {
    return counts.notSentCount() >= MAX_FAILED_CONNECTS;
  }

  /** Returns whether another VM may get a request for which this VM finds no target. */
  boolean mayHelp(Service service, long now) {
    return checks.reachability().isAffected(service.name(), now);
  }

  /** Returns another VM as the destination of a request, or empty if none is left. */
  Optional<Destination> choose(Service service, Set<String> excluded, long now) {
    return peers.pick(excluded, now).map(peer -> destination(service, peer, now));
  }

  /**
   * Returns a VM that has had a request as the destination of it, or empty if it is to be avoided.
   */
  Optional<Destination> chooseAgain(Service service, PeerVm peer, long now) {
    return peers.isAvailable(peer, now)
        ? Optional.of(destination(service, peer, now))
        : Optional.empty();
  }

  private static Destination destination(Service service, PeerVm peer, long now) {
    TargetStatement statement =
        new TargetStatement(
            peer.targetId(),
            service.name(),
            peer.address(),
            peer.dataCentre(),
            1,
            TargetStatement.Phase.READY,
            "",
            null,
            0,
            0);
    Fleet.Member member = new Fleet.Member(statement, now, null, now - 1, 0);
    return new Destination(member, List.of(), peer);
  }

  /** Records that a VM could not serve a request; does nothing for a target. */
  void recordFailure(@Nullable PeerVm peer) {
    if (peer != null) {
      peers.recordFailure(peer.name(), System.nanoTime());
    }
  }

  /** Records that a VM gets a request; does nothing for a target. */
  void recordBegin(@Nullable PeerVm peer) {
    if (peer != null) {
      peers.recordBegin(peer.name());
      watch.recordBegin(peer);
    }
  }

  /** Records that a VM has a request no more; does nothing for a target. */
  void recordEnd(@Nullable PeerVm peer) {
    if (peer != null) {
      peers.recordEnd(peer.name());
      watch.recordEnd(peer);
    }
  }
}
