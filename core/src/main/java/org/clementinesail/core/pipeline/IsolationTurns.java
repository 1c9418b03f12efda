package org.clementinesail.core.pipeline;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets one VM at a time run a suspected request on a target, so that a crash has a single suspect.
 *
 * <p>A VM announces that it is waiting and gives the other VMs {@link #ANNOUNCEMENT_WAIT_NANOS} to
 * announce the same. It then runs if no other VM is running and no waiting VM precedes it by name.
 * If a message takes longer, two VMs may run at once. A crash then has two suspects, which only
 * makes the blame less certain: at worst, after both were isolated before, the wrong one is blamed.
 * The class is not thread-safe.
 */
public final class IsolationTurns {
  /** Minimum time between a VM's announcement that it waits and its run, in nanoseconds. */
  public static final long ANNOUNCEMENT_WAIT_NANOS = 20_000_000L;

  /** Time after which a VM that sends nothing more no longer blocks a target. */
  private static final long PEER_STATE_TTL_NANOS = 5_000_000_000L;

  /** State of a VM's turn on a target. */
  public enum State {
    /** The VM waits to run a suspected request. */
    WAITING,
    /** The VM runs a suspected request. */
    RUNNING,
    /** The VM neither waits nor runs. */
    DONE
  }

  private record PeerTarget(String vm, String target) {}

  private record PeerState(State state, long receivedAt) {}

  private final String self;
  private final Map<PeerTarget, PeerState> peerStates = new HashMap<>();

  /**
   * Creates the turns of a VM, without states of other VMs.
   *
   * @param self name of this VM, which orders it among waiting VMs
   */
  public IsolationTurns(String self) {
    this.self = self;
  }

  /**
   * Records the state that another VM announced.
   *
   * @param vm name of the other VM
   * @param target name of the target
   * @param state new state; {@link State#DONE} removes the VM's previous state
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void recordPeerState(String vm, String target, State state, long now) {
    if (state == State.DONE) {
      peerStates.remove(new PeerTarget(vm, target));
    } else {
      peerStates.put(new PeerTarget(vm, target), new PeerState(state, now));
    }
  }

  /**
   * Returns whether this VM may run on a target; call it after {@link #ANNOUNCEMENT_WAIT_NANOS}.
   *
   * @param target name of the target
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public boolean mayRun(String target, long now) {
    peerStates.values().removeIf(peerState -> now - peerState.receivedAt() > PEER_STATE_TTL_NANOS);
    for (Map.Entry<PeerTarget, PeerState> entry : peerStates.entrySet()) {
      PeerTarget peer = entry.getKey();
      boolean precedes = entry.getValue().state() == State.RUNNING || peer.vm().compareTo(self) < 0;
      if (peer.target().equals(target) && precedes) {
        return false;
      }
    }
    return true;
  }
}
