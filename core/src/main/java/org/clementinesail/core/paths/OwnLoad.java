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
public final class OwnLoad {
  /** Reports show the engine as it was this long before. */
  private static final long REPORT_LAG_NANOS = 200_000_000L;

  /** One request at one target; told apart by identity. */
  public static final class Share {
    private final String target;
    private final long kv;
    private final long assignedAt;

    private Share(String target, long kv, long assignedAt) {
      this.target = target;
      this.kv = kv;
      this.assignedAt = assignedAt;
    }
  }

  private static final class Work {
    final Set<Share> unseen = new HashSet<>();
    int requests;
    long unseenKv;
    long reportedAt = Long.MIN_VALUE;

    void seen(Share share) {
      if (unseen.remove(share)) {
        unseenKv -= share.kv;
      }
    }
  }

  private final Map<String, Work> works = new HashMap<>();

  /**
   * Notes that a request is given to a target.
   *
   * @param id identity of the target
   * @param kv tokens times layers that it will take there
   * @param now present time in nanoseconds
   * @return the request's share, to be released when it has left the target
   */
  public Share assigned(String id, long kv, long now) {
    Work work = works.computeIfAbsent(id, key -> new Work());
    Share share = new Share(id, kv, now);
    work.requests++;
    work.unseen.add(share);
    work.unseenKv += kv;
    return share;
  }

  /**
   * Notes that a request has left a target.
   *
   * @param share the request's share
   */
  public void released(Share share) {
    Work work = works.get(share.target);
    if (work == null) {
      return;
    }
    work.requests--;
    work.seen(share);
    if (work.requests <= 0) {
      works.remove(share.target);
    }
  }

  /**
   * Notes that a target has reported; the report covers what was given some time before.
   *
   * @param id identity of the target
   * @param reportedAt when the report was read, in nanoseconds
   */
  public void reported(String id, long reportedAt) {
    Work work = works.get(id);
    if (work == null || work.reportedAt >= reportedAt) {
      return;
    }
    work.reportedAt = reportedAt;
    long shown = reportedAt - REPORT_LAG_NANOS;
    for (Share share : Set.copyOf(work.unseen)) {
      if (share.assignedAt - shown <= 0) {
        work.seen(share);
      }
    }
  }

  /**
   * Returns the requests that this VM has at a target.
   *
   * @param id identity of the target
   */
  public int requests(String id) {
    Work work = works.get(id);
    return work == null ? 0 : work.requests;
  }

  /** Returns how many of them the target's last report does not show. */
  int unseenRequests(String id) {
    Work work = works.get(id);
    return work == null ? 0 : work.unseen.size();
  }

  /** Returns what those take of the target's memory, in tokens times layers. */
  long unseenKv(String id) {
    Work work = works.get(id);
    return work == null ? 0 : work.unseenKv;
  }
}
