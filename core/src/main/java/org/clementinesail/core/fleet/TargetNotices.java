package org.clementinesail.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * What targets have stated in answers to this VM about further requests. It holds until the next
 * start of the target, whatever its statements say meanwhile: these may be older than the answer.
 */
final class TargetNotices {
  /**
   * What one lifetime of a target has stated.
   *
   * @param startedAtMillis start of the target
   * @param leaving whether it wants no new requests at all
   * @param deferredUntil until when it wants none, in nanoseconds of the monotonic clock; null if
   *     it has not stated a time
   */
  private record Notice(long startedAtMillis, boolean leaving, @Nullable Long deferredUntil) {}

  private final Map<String, Notice> notices = new HashMap<>();

  private Notice notice(TargetStatement target) {
    Notice known = notices.get(target.id());
    return known != null && known.startedAtMillis() == target.startedAtMillis()
        ? known
        : new Notice(target.startedAtMillis(), false, null);
  }

  /** Records that a target is leaving; returns whether that is new. */
  boolean recordLeaving(TargetStatement target) {
    Notice known = notice(target);
    notices.put(target.id(), new Notice(known.startedAtMillis(), true, known.deferredUntil()));
    return !known.leaving();
  }

  /**
   * Records until when a target wants no requests; an earlier time does not shorten a later one.
   */
  void recordDeferral(TargetStatement target, long until) {
    Notice known = notice(target);
    Long before = known.deferredUntil();
    if (before == null || until - before > 0) {
      notices.put(target.id(), new Notice(known.startedAtMillis(), known.leaving(), until));
    }
  }

  /** Returns whether a target is leaving. */
  boolean isLeaving(TargetStatement target) {
    return notice(target).leaving();
  }

  /** Returns until when a target wants no requests, or empty if it takes them now. */
  OptionalLong deferredUntil(TargetStatement target, long now) {
    Long until = notice(target).deferredUntil();
    return until == null || now - until >= 0 ? OptionalLong.empty() : OptionalLong.of(until);
  }

  void remove(String id) {
    notices.remove(id);
  }
}
