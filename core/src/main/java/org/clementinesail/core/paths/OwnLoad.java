package org.clementinesail.core.paths;

import java.util.HashMap;
import java.util.Map;

/**
 * The work that this VM has given to each target, in all and since the target's last report. The
 * class is not thread-safe.
 */
public final class OwnLoad {
  private static final class Work {
    int requests;
    int requestsSinceReport;
    long kvSinceReport;
    long reportedAt;
  }

  private final Map<String, Work> works = new HashMap<>();

  /**
   * Notes that a request is given to a target.
   *
   * @param id identity of the target
   * @param kv tokens times layers that it will take there
   */
  public void assigned(String id, long kv) {
    Work work = works.computeIfAbsent(id, key -> new Work());
    work.requests++;
    work.requestsSinceReport++;
    work.kvSinceReport += kv;
  }

  /**
   * Notes that a request has left a target.
   *
   * @param id identity of the target
   */
  public void released(String id) {
    Work work = works.get(id);
    if (work != null && --work.requests <= 0 && work.requestsSinceReport == 0) {
      works.remove(id);
    }
  }

  /**
   * Notes that a target has reported; the report covers what was given before.
   *
   * @param id identity of the target
   * @param reportedAt when the report was made, in nanoseconds
   */
  public void reported(String id, long reportedAt) {
    Work work = works.get(id);
    if (work == null || (work.reportedAt != 0 && work.reportedAt - reportedAt >= 0)) {
      return;
    }
    work.reportedAt = reportedAt;
    work.requestsSinceReport = 0;
    work.kvSinceReport = 0;
    if (work.requests <= 0) {
      works.remove(id);
    }
  }

  /**
   * Returns the requests that this VM has at a target.
   *
   * @param id identity of the target
   */
  public int requests(String id) {
    Work work = works.get(id);
    return work == null ? 0 : Math.max(0, work.requests);
  }

  int requestsSinceReport(String id) {
    Work work = works.get(id);
    return work == null ? 0 : work.requestsSinceReport;
  }

  long kvSinceReport(String id) {
    Work work = works.get(id);
    return work == null ? 0 : work.kvSinceReport;
  }
}
