package org.clementinesail.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Ejects failing targets for a limited time, at most 34% of them at once (rounded up).
 *
 * <p>The first ejection lasts 1 s. A target that fails again after its ejection is ejected for
 * twice as long, up to 30 s; a success after the ejection resets the duration. The class is not
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
   * Records a failure and ejects the target; failures during an ejection do not extend it.
   *
   * @param target name of the target
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void recordFailure(String target, long now) {
    Ejection ejection = ejections.computeIfAbsent(target, key -> new Ejection());
    if (now - ejection.endsAt < 0) {
      return;
    }
    ejection.durationNanos =
        ejection.durationNanos == 0
            ? BASE_EJECTION_NANOS
            : Math.min(MAX_EJECTION_NANOS, 2 * ejection.durationNanos);
    ejection.endsAt = now + ejection.durationNanos;
  }

  /**
   * Records a success; a success during an ejection does not end it.
   *
   * @param target name of the target
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void recordSuccess(String target, long now) {
    Ejection ejection = ejections.get(target);
    if (ejection != null && now - ejection.endsAt >= 0) {
      ejections.remove(target);
    }
  }

  /**
   * Clears the failures of a target, for example when it restarts in a new incarnation.
   *
   * @param target name of the target
   */
  public void remove(String target) {
    ejections.remove(target);
  }

  /**
   * Returns the names of the ejected targets, limited to the allowed share.
   *
   * @param targetCount number of all targets that the share refers to
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public Set<String> ejected(int targetCount, long now) {
    if (ejections.isEmpty()) {
      return Set.of();
    }
    int limit = (int) Math.ceil(targetCount * MAX_EJECTED_SHARE);
    Set<String> names = new HashSet<>();
    for (Map.Entry<String, Ejection> entry : ejections.entrySet()) {
      if (now - entry.getValue().endsAt < 0 && names.size() < limit) {
        names.add(entry.getKey());
      }
    }
    return names;
  }
}
