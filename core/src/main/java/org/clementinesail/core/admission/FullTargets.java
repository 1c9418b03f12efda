package org.clementinesail.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Targets that have refused a request for want of room and have ended none of this VM since. Under
 * overload each attempt at them is refused too, and uses up the attempts of urgent requests as well
 * as those of others; a target that ends a request has room for the next one.
 *
 * <p>All times are nanoseconds of one monotonic clock.
 */
public final class FullTargets {
  /** Other VMs' requests end at the target, too, which this VM does not see. */
  private static final long FULL_NANOS = 250_000_000L;

  /** Pause between two attempts at a service all of whose targets are full. */
  private static final long PROBE_INTERVAL_NANOS = 50_000_000L;

  private final Map<String, Long> refusedAt = new HashMap<>();
  private final Map<String, Long> probedAt = new HashMap<>();

  /**
   * Records that a target refused a request for want of room.
   *
   * @param target id of the target
   * @param now current time
   */
  public void recordRefused(String target, long now) {
    refusedAt.values().removeIf(time -> now - time > FULL_NANOS);
    refusedAt.put(target, now);
  }

  /**
   * Records that a target has ended a request of this VM.
   *
   * @param target id of the target
   */
  public void recordEnded(String target) {
    refusedAt.remove(target);
  }

  /**
   * Records that a request is sent to a target; one to a full target is a probe of its service.
   *
   * @param service name of the service
   * @param target id of the target
   * @param now current time
   */
  public void recordSent(String service, String target, long now) {
    if (isFull(target, now)) {
      probedAt.put(service, now);
    }
  }

  /**
   * Returns those of some targets that are full.
   *
   * @param targets ids of targets
   * @param now current time
   */
  public Set<String> among(Collection<String> targets, long now) {
    if (refusedAt.isEmpty()) {
      return Set.of();
    }
    Set<String> full = new HashSet<>(targets);
    full.removeIf(target -> !isFull(target, now));
    return full;
  }

  /**
   * Returns whether a request may be sent to a full target, as that has not been tried for a while.
   *
   * @param service name of the service
   * @param now current time
   */
  public boolean mayProbe(String service, long now) {
    Long last = probedAt.get(service);
    return last == null || now - last >= PROBE_INTERVAL_NANOS;
  }

  private boolean isFull(String target, long now) {
    Long time = refusedAt.get(target);
    return time != null && now - time <= FULL_NANOS;
  }
}
