package org.clementinesail.core.pipeline;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets one VM at a time run a request in doubt on a target, so that a crash has one suspect.
 *
 * <p>A VM says that it waits, gives the others time to say the same, and runs if none runs and none
 * that waits goes before it by name. Messages that take longer can only make blame less certain; a
 * crash with two suspects blames the wrong one at worst after both were isolated before. The class
 * is not thread-safe.
 */
public final class IsolationTurns {
  /** How long a VM listens between its word that it waits and its turn, in nanoseconds. */
  public static final long ANNOUNCEMENT_WAIT_NANOS = 20_000_000L;

  private static final long PEER_STATE_TTL_NANOS = 5_000_000_000L;

  /** What a VM does with a target. */
  public enum State {
    /** Waits for its turn. */
    WAITING,
    /** Runs a request in doubt there. */
    RUNNING,
    /** Neither. */
    DONE
  }

  private record PeerTarget(String vm, String target) {}

  private record PeerState(State state, long receivedAt) {}

  private final String self;
  private final Map<PeerTarget, PeerState> peerStates = new HashMap<>();

  /**
   * Creates the turns of a VM that has heard of no other.
   *
   * @param self name of this VM
   */
  public IsolationTurns(String self) {
    this.self = self;
  }

  /**
   * Notes what another VM does.
   *
   * @param vm name of the VM
   * @param target name of the target
   * @param state what it does there
   * @param now present time in nanoseconds
   */
  public void recordPeerState(String vm, String target, State state, long now) {
    if (state == State.DONE) {
      peerStates.remove(new PeerTarget(vm, target));
    } else {
      peerStates.put(new PeerTarget(vm, target), new PeerState(state, now));
    }
  }

  /**
   * Returns whether this VM, having waited, may run on a target.
   *
   * @param target name of the target
   * @param now present time in nanoseconds
   */
  public boolean mayRun(String target, long now) {
    peerStates.values().removeIf(turn -> now - turn.receivedAt() > PEER_STATE_TTL_NANOS);
    for (Map.Entry<PeerTarget, PeerState> entry : peerStates.entrySet()) {
      PeerTarget place = entry.getKey();
      boolean first = entry.getValue().state() == State.RUNNING || place.vm().compareTo(self) < 0;
      if (place.target().equals(target) && first) {
        return false;
      }
    }
    return true;
  }
}
