package org.clementinesail.core.paths;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests that this VM has at each target, and those of them that the target's last report
 * does not show yet.
 *
 * <p>Answers load while reports are late or missing, as when the control VMs are down: requests
 * that have ended do not count any more, whether a report came meanwhile or not. The class is not
 * thread-safe.
 */
public final class LocalLoad {
  /** Reports show the engine as it was this long before. */
  private static final long REPORT_LAG_NANOS = 200_000_000L;

  /** One request at one target; told apart by identity. */
  public static final class Assignment {
    private final String target;
    private final long kvTokenLayers;
    private final long assignedAt;

    private Assignment(String target, long kv, long assignedAt) {
      this.target = target;
      this.kvTokenLayers = kv;
      this.assignedAt = assignedAt;
    }
  }

  private static final class TargetWork {
    final Set<Assignment> unreported = new HashSet<>();
    int requests;
    long unreportedKvTokenLayers;
    long reportedAt = Long.MIN_VALUE;

    void removeUnreported(Assignment share) {
      if (unreported.remove(share)) {
        unreportedKvTokenLayers -= share.kvTokenLayers;
      }
    }
  }

  private final Map<String, TargetWork> workByTarget = new HashMap<>();

  /**
   * Notes that a request is given to a target.
   *
   * @param id identity of the target
   * @param kv tokens times layers that it will take there
   * @param now present time in nanoseconds
   * @return the request's share, to be released when it has left the target
   */
  public Assignment assign(String id, long kv, long now) {
    TargetWork work = workByTarget.computeIfAbsent(id, key -> new TargetWork());
    Assignment share = new Assignment(id, kv, now);
    work.requests++;
    work.unreported.add(share);
    work.unreportedKvTokenLayers += kv;
    return share;
  }

  /**
   * Notes that a request has left a target.
   *
   * @param share the request's share
   */
  public void release(Assignment share) {
    TargetWork work = workByTarget.get(share.target);
    if (work == null) {
      return;
    }
    work.requests--;
    work.removeUnreported(share);
    if (work.requests <= 0) {
      workByTarget.remove(share.target);
    }
  }

  /**
   * Notes that a target has reported; the report covers what was given some time before.
   *
   * @param id identity of the target
   * @param reportedAt when the report was read, in nanoseconds
   */
  public void recordReport(String id, long reportedAt) {
    TargetWork work = workByTarget.get(id);
    if (work == null || work.reportedAt >= reportedAt) {
      return;
    }
    work.reportedAt = reportedAt;
    long shown = reportedAt - REPORT_LAG_NANOS;
    for (Assignment share : Set.copyOf(work.unreported)) {
      if (share.assignedAt - shown <= 0) {
        work.removeUnreported(share);
      }
    }
  }

  /**
   * Returns the requests that this VM has at a target.
   *
   * @param id identity of the target
   */
  public int requestCount(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.requests;
  }

  /** Returns how many of them the target's last report does not show. */
  int unreportedRequests(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.unreported.size();
  }

  /** Returns what those take of the target's memory, in tokens times layers. */
  long unreportedKvTokenLayers(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.unreportedKvTokenLayers;
  }
}
