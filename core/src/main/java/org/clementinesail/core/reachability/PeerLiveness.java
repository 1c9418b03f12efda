package org.clementinesail.core.reachability;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether a VM that serves requests for this one has frozen.
 *
 * <p>Its answers may be late because its targets are. Therefore a VM that has sent nothing for a
 * short time is asked for a sign of life, which its event loop gives whatever its targets do. Time
 * counts only as far as this VM was awake. The class is not thread-safe.
 *
 * <pre>{@code
 * liveness.recordBegin(peer);
 * liveness.tick(now).forEach(vm -> ask(vm));
 * if (liveness.isFrozen(peer)) { ... }
 * }</pre>
 */
public final class PeerLiveness {
  /** Time without a byte after which a VM is asked, and asked again. */
  private static final long ASK_NANOS = 200_000_000L;

  /** Time without a byte, though the VM was asked, after which it counts as frozen. */
  private static final long FROZEN_NANOS = 700_000_000L;

  /** Longest time between two ticks that counts: in the rest this VM may have stood still. */
  private static final long MAX_TICK_NANOS = 50_000_000L;

  private static final class Watch {
    final PeerVm peer;
    int requests;
    long silentNanos;
    long askedAtNanos;

    Watch(PeerVm peer) {
      this.peer = peer;
    }
  }

  private final Map<String, Watch> watches = new HashMap<>();
  private long tickedAt;

  /**
   * Records that a VM has got a request.
   *
   * @param peer the VM
   */
  public void recordBegin(PeerVm peer) {
    watches.computeIfAbsent(peer.name(), name -> new Watch(peer)).requests++;
  }

  /**
   * Records the end of a request; a VM without requests is watched no more.
   *
   * @param peer the VM
   */
  public void recordEnd(PeerVm peer) {
    watches.computeIfPresent(peer.name(), (name, watch) -> --watch.requests <= 0 ? null : watch);
  }

  /**
   * Records that bytes of a VM have arrived, or the end of a connection to it.
   *
   * @param peer the VM
   */
  public void recordHeard(PeerVm peer) {
    Watch watch = watches.get(peer.name());
    if (watch != null) {
      watch.silentNanos = 0;
      watch.askedAtNanos = 0;
    }
  }

  /**
   * Lets time pass; to be called at intervals of at most 50 ms.
   *
   * @param now current time in nanoseconds of the monotonic clock
   * @return the VMs to be asked for a sign of life now
   */
  public List<PeerVm> tick(long now) {
    long passed = Math.min(now - tickedAt, MAX_TICK_NANOS);
    tickedAt = now;
    if (watches.isEmpty()) {
      return List.of();
    }
    List<PeerVm> asked = new ArrayList<>();
    for (Watch watch : watches.values()) {
      watch.silentNanos += passed;
      if (watch.silentNanos - watch.askedAtNanos >= ASK_NANOS) {
        watch.askedAtNanos = watch.silentNanos;
        asked.add(watch.peer);
      }
    }
    return asked;
  }

  /**
   * Returns for how many nanoseconds a VM with requests of this one has sent nothing; else 0.
   *
   * @param peer the VM
   */
  public long silentNanos(PeerVm peer) {
    Watch watch = watches.get(peer.name());
    return watch == null ? 0 : watch.silentNanos;
  }

  /**
   * Returns how many requests of this VM another one has.
   *
   * @param peer the VM
   */
  public int requests(PeerVm peer) {
    Watch watch = watches.get(peer.name());
    return watch == null ? 0 : watch.requests;
  }

  /**
   * Returns whether a VM has requests of this one and gives no sign of life.
   *
   * @param peer the VM
   */
  public boolean isFrozen(PeerVm peer) {
    return silentNanos(peer) >= FROZEN_NANOS;
  }

  /**
   * Returns whether a VM has requests of this one.
   *
   * @param peer the VM
   */
  public boolean isWatched(PeerVm peer) {
    return watches.containsKey(peer.name());
  }

  /** Returns whether any VM has requests of this one. */
  public boolean isWatching() {
    return !watches.isEmpty();
  }

  /** Returns the VMs that have requests of this one and give no sign of life. */
  public List<PeerVm> frozen() {
    return watches.values().stream().map(watch -> watch.peer).filter(this::isFrozen).toList();
  }
}
