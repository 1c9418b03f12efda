package org.clementinesail.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Sets failing targets aside for a while, never more than a bounded share of them.
 *
 * <p>Each further failure doubles the time; after it the target is tried again. The class is not
 * thread-safe.
 */
public final class OutlierDetector {
  private static final long BASE_EJECTION_NANOS = 1_000_000_000L;
  private static final long MAX_EJECTION_NANOS = 30_000_000_000L;
  private static final double MAX_EJECTED_SHARE = 0.34;

  private static final class Ejection {
    long durationNanos;
    long endsAt;
  }

  private final Map<String, Ejection> ejections = new HashMap<>();

  /**
   * Notes that a target failed.
   *
   * @param target name of the target
   * @param now present time in nanoseconds
   */
  public void recordFailure(String target, long now) {
    Ejection ban = ejections.computeIfAbsent(target, key -> new Ejection());
    if (now - ban.endsAt < 0) {
      return;
    }
    ban.durationNanos =
        ban.durationNanos == 0
            ? BASE_EJECTION_NANOS
            : Math.min(MAX_EJECTION_NANOS, 2 * ban.durationNanos);
    ban.endsAt = now + ban.durationNanos;
  }

  /**
   * Notes that a target did its work.
   *
   * @param target name of the target
   * @param now present time in nanoseconds
   */
  public void recordSuccess(String target, long now) {
    Ejection ban = ejections.get(target);
    if (ban != null && now - ban.endsAt >= 0) {
      ejections.remove(target);
    }
  }

  /**
   * Forgets a target, as when it comes back in a new incarnation.
   *
   * @param target name of the target
   */
  public void remove(String target) {
    ejections.remove(target);
  }

  /**
   * Returns the targets that are set aside.
   *
   * @param targets number of targets there are
   * @param now present time in nanoseconds
   */
  public Set<String> ejected(int targets, long now) {
    if (ejections.isEmpty()) {
      return Set.of();
    }
    int most = (int) Math.ceil(targets * MAX_EJECTED_SHARE);
    Set<String> aside = new HashSet<>();
    for (Map.Entry<String, Ejection> entry : ejections.entrySet()) {
      if (now - entry.getValue().endsAt < 0 && aside.size() < most) {
        aside.add(entry.getKey());
      }
    }
    return aside;
  }
}
