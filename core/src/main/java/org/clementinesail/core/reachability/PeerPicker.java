package org.clementinesail.core.reachability;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Picks the VM that gets a request in place of a target: the one with the fewest requests of this
 * VM, with a preference for its own data centre. The class is not thread-safe.
 */
public final class PeerPicker {
  /** Time for which a VM that could not serve a request gets none. */
  private static final long AVOID_NANOS = 1_000_000_000L;

  /** Time for which a VM that has frozen gets none. */
  private static final long FROZEN_NANOS = 3_000_000_000L;

  /** Cost of a VM in another data centre, in requests in progress. */
  private static final double REMOTE_PENALTY = 2;

  private final String dataCentre;
  private final RandomGenerator random;
  private final Map<String, Long> avoidedUntil = new HashMap<>();
  private final Map<String, Integer> inProgress = new HashMap<>();
  private List<PeerVm> peers = List.of();

  /**
   * Creates a picker that knows no VM.
   *
   * @param dataCentre data centre of this VM
   * @param random breaks ties
   */
  public PeerPicker(String dataCentre, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * Replaces the known VMs.
   *
   * @param next VMs that reach their targets, as far as the control VMs know
   */
  public void peers(List<PeerVm> next) {
    peers = List.copyOf(next);
    avoidedUntil.keySet().removeIf(name -> next.stream().noneMatch(p -> p.name().equals(name)));
  }

  /** Returns whether no VM is known. */
  public boolean isEmpty() {
    return peers.isEmpty();
  }

  /**
   * Picks a VM, or returns empty if none is left.
   *
   * @param excluded ids as {@link PeerVm#targetId} of VMs that must not be picked
   * @param now current time in nanoseconds of the monotonic clock
   */
  public Optional<PeerVm> pick(Set<String> excluded, long now) {
    PeerVm best = null;
    double lowest = Double.MAX_VALUE;
    for (PeerVm peer : peers) {
      boolean avoided = isAvoided(peer, now);
      double remote = peer.dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY;
      double cost = inProgress.getOrDefault(peer.name(), 0) + remote + random.nextDouble();
      if (!avoided && !excluded.contains(peer.targetId()) && cost < lowest) {
        lowest = cost;
        best = peer;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isAvoided(PeerVm peer, long now) {
    Long until = avoidedUntil.get(peer.name());
    return until != null && now - until < 0;
  }

  /**
   * Returns whether a VM is known and may get requests.
   *
   * @param peer the VM
   * @param now current time in nanoseconds of the monotonic clock
   */
  public boolean isAvailable(PeerVm peer, long now) {
    return peers.contains(peer) && !isAvoided(peer, now);
  }

  /**
   * Records that a VM could not serve a request.
   *
   * @param name name of the VM
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordFailure(String name, long now) {
    avoid(name, now + AVOID_NANOS);
  }

  /**
   * Records that a VM gives no sign of life.
   *
   * @param name name of the VM
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordFrozen(String name, long now) {
    avoid(name, now + FROZEN_NANOS);
  }

  private void avoid(String name, long until) {
    avoidedUntil.merge(name, until, (a, b) -> a - b > 0 ? a : b);
  }

  /**
   * Records that a VM has got a request.
   *
   * @param name name of the VM
   */
  public void recordBegin(String name) {
    inProgress.merge(name, 1, Integer::sum);
  }

  /**
   * Records the end of a request.
   *
   * @param name name of the VM
   */
  public void recordEnd(String name) {
    inProgress.merge(name, -1, (a, b) -> a + b <= 0 ? null : a + b);
  }
}
