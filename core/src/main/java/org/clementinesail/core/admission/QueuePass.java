package org.clementinesail.core.admission;

import java.util.HashSet;
import java.util.Set;

/** One look at the queue, which ends when a request finds no target. */
public final class QueuePass {
  /** Requests tried after one found no target, if they need less room. */
  private static final int MAX_FAILURES = 4;

  private final Set<Long> failed = new HashSet<>();
  private final int ended;
  private int left;
  private int rank = -1;
  private long size = Long.MAX_VALUE;

  /**
   * Begins a look at the queue.
   *
   * @param ended requests of this VM that targets have ended since the last one
   */
  public QueuePass(int ended) {
    this.ended = ended;
  }

  /** Records that a request waits no more. */
  public void recordLeft() {
    left++;
  }

  /**
   * Records that a request found no target.
   *
   * @param request the request, which goes on waiting
   */
  public void recordFailed(WaitingRequest request) {
    failed.add(request.id());
    if (rank < 0 || request.rank() < rank) {
      rank = request.rank();
      size = request.size();
    } else if (request.rank() == rank) {
      size = Math.min(size, request.size());
    }
  }

  boolean allows(WaitingRequest request) {
    if (failed.isEmpty()) {
      return true;
    }
    // The failure of a less urgent request of a starved rank says nothing of a more urgent one.
    boolean mayFit = request.rank() < rank || (request.rank() == rank && request.size() < size);
    return failed.size() < MAX_FAILURES && mayFit && !failed.contains(request.id());
  }

  /** Returns whether full targets may get one more request: one for each that they have ended. */
  boolean mayRelease() {
    return left < Math.max(1, ended);
  }
}
