package org.clementinesail.core.paths;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the requests of this VM at each target, and which of them are unreported: the target's
 * last report does not include them yet, or still includes them although they have ended.
 *
 * <p>Reports may be late or missing, for example while the control VMs are down. Requests that have
 * ended are no longer counted, even if no report has arrived since. The class is not thread-safe.
 */
public final class LocalLoad {
  /** Age of the engine state in a report at the time the report is read. */
  private static final long REPORT_LAG_NANOS = 200_000_000L;

  /** Longest time that a request which has ended is kept without a new report. */
  private static final long MAX_ENDED_AGE_NANOS = 5_000_000_000L;

  /** One request at one target, compared by object identity. */
  public static final class Assignment {
    private final String target;
    private final long kvTokenLayers;
    private final long assignedAt;

    private Assignment(String target, long kvTokenLayers, long assignedAt) {
      this.target = target;
      this.kvTokenLayers = kvTokenLayers;
      this.assignedAt = assignedAt;
    }
  }

  /** Memory of a request that has ended. */
  private record Ended(long kvTokenLayers, long endedAt) {}

  private static final class TargetWork {
    final Set<Assignment> unreported = new HashSet<>();
    final Deque<Ended> endedSinceReport = new ArrayDeque<>();
    int requests;
    long unreportedKvTokenLayers;
    long endedKvTokenLayers;
    long reportedAt = Long.MIN_VALUE;

    void removeUnreported(Assignment assignment) {
      if (unreported.remove(assignment)) {
        unreportedKvTokenLayers -= assignment.kvTokenLayers;
      }
    }

    void recordEnd(Assignment assignment, long now) {
      requests--;
      if (unreported.contains(assignment)) {
        removeUnreported(assignment);
      } else {
        endedSinceReport.addLast(new Ended(assignment.kvTokenLayers, now));
        endedKvTokenLayers += assignment.kvTokenLayers;
        removeEndedUntil(now - MAX_ENDED_AGE_NANOS);
      }
    }

    void removeEndedUntil(long time) {
      while (!endedSinceReport.isEmpty() && endedSinceReport.getFirst().endedAt - time <= 0) {
        endedKvTokenLayers -= endedSinceReport.removeFirst().kvTokenLayers;
      }
    }
  }

  /** A target without requests of this VM, and until when those that have ended are kept. */
  private record Idle(String target, long until) {}

  private final Map<String, TargetWork> workByTarget = new HashMap<>();
  private final Deque<Idle> idleTargets = new ArrayDeque<>();

  /**
   * Records that a request is assigned to a target.
   *
   * @param id identity of the target
   * @param kvTokenLayers KV cache memory that the request will need there, in tokens times layers
   * @param now current time in nanoseconds of this VM's monotonic clock
   * @return the assignment, to pass to {@link #release} when the request has left the target
   */
  public Assignment assign(String id, long kvTokenLayers, long now) {
    removeExpired(now);
    TargetWork work = workByTarget.computeIfAbsent(id, key -> new TargetWork());
    Assignment assignment = new Assignment(id, kvTokenLayers, now);
    work.requests++;
    work.unreported.add(assignment);
    work.unreportedKvTokenLayers += kvTokenLayers;
    return assignment;
  }

  /**
   * Records that a request has left a target.
   *
   * @param assignment assignment of the request
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void release(Assignment assignment, long now) {
    TargetWork work = workByTarget.get(assignment.target);
    if (work != null) {
      work.recordEnd(assignment, now);
      removeIfIdle(assignment.target, work);
      if (work.requests <= 0) {
        idleTargets.addLast(new Idle(assignment.target, now + MAX_ENDED_AGE_NANOS));
      }
    }
  }

  private void removeExpired(long now) {
    while (!idleTargets.isEmpty() && idleTargets.getFirst().until - now <= 0) {
      String id = idleTargets.removeFirst().target;
      TargetWork work = workByTarget.get(id);
      if (work != null) {
        work.removeEndedUntil(now - MAX_ENDED_AGE_NANOS);
        removeIfIdle(id, work);
      }
    }
  }

  /** Returns the number of targets that something is kept for. */
  int targetCount() {
    return workByTarget.size();
  }

  private void removeIfIdle(String id, TargetWork work) {
    if (work.requests <= 0 && work.endedSinceReport.isEmpty()) {
      workByTarget.remove(id);
    }
  }

  /**
   * Records that a target has reported its load. Requests assigned within the last 200 ms before
   * the report stay unreported, since reports lag behind by that time.
   *
   * @param id identity of the target
   * @param reportedAt when the report was read, in nanoseconds of this VM's monotonic clock
   */
  public void recordReport(String id, long reportedAt) {
    TargetWork work = workByTarget.get(id);
    if (work == null || work.reportedAt >= reportedAt) {
      return;
    }
    work.reportedAt = reportedAt;
    long coveredUntil = reportedAt - REPORT_LAG_NANOS;
    for (Assignment assignment : Set.copyOf(work.unreported)) {
      if (assignment.assignedAt - coveredUntil <= 0) {
        work.removeUnreported(assignment);
      }
    }
    work.removeEndedUntil(coveredUntil);
    removeIfIdle(id, work);
  }

  /**
   * Returns the number of requests that this VM has at a target, whether reported or not.
   *
   * @param id identity of the target
   */
  public int requestCount(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.requests;
  }

  /** Returns the number of this VM's requests that the target's last report does not include. */
  int unreportedRequests(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.unreported.size();
  }

  /** Returns the KV cache memory of the unreported requests, in tokens times layers. */
  long unreportedKvTokenLayers(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.unreportedKvTokenLayers;
  }

  /**
   * Returns the KV cache memory of this VM's requests that have ended although the target's last
   * report includes them, in tokens times layers.
   */
  long endedKvTokenLayers(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.endedKvTokenLayers;
  }

  /** Returns the number of this VM's requests that have ended although the last report has them. */
  int endedRequests(String id) {
    TargetWork work = workByTarget.get(id);
    return work == null ? 0 : work.endedSinceReport.size();
  }

  /** Returns the number of requests of this VM by target, without targets that have none. */
  public Map<String, Integer> requestCounts() {
    Map<String, Integer> counts = new HashMap<>();
    workByTarget.forEach(
        (id, work) -> {
          if (work.requests > 0) {
            counts.put(id, work.requests);
          }
        });
    return counts;
  }
}
