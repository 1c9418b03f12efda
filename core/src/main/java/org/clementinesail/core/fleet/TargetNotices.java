package org.clementinesail.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * What targets have stated in answers to this VM about further requests. It holds until the next
 * start of the target, whatever its statements say meanwhile: these may be older than the answer.
 */
final class TargetNotices {
  /** The start of the target that is leaving, by identity. */
  private final Map<String, Long> leaving = new HashMap<>();

  /** Records that a target is leaving; returns whether that is new. */
  boolean recordLeaving(TargetStatement target) {
    Long start = leaving.put(target.id(), target.startedAtMillis());
    return start == null || start != target.startedAtMillis();
  }

  /** Returns whether a target may get new requests. */
  boolean allowsRequests(TargetStatement target) {
    Long start = leaving.get(target.id());
    return start == null || start != target.startedAtMillis();
  }

  void remove(String id) {
    leaving.remove(id);
  }
}
