package org.clementinesail.server.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Input of a replica, processed on its thread. */
interface ReplicaTask {
  /**
   * Passes the input to an open replica.
   *
   * @param session the open replica
   * @param now time at which the batch started, in nanoseconds
   */
  void run(ReplicaSession session, long now);

  /**
   * Called instead of {@link #run} if there is no open replica or too many inputs wait, and after a
   * batch that failed; has no effect on a request that has its result.
   */
  default void reject() {}

  /** Returns about how much memory the input holds, in bytes. */
  default long bytes() {
    return 0;
  }

  /**
   * Request whose result a caller waits for.
   *
   * @param result fails with {@link NotLeaderException} if the request is rejected
   * @param action passes the request to the open replica
   * @param bytes memory that the request holds, in bytes
   */
  record Request(CompletableFuture<?> result, Consumer<ReplicaSession> action, long bytes)
      implements ReplicaTask {
    @Override
    public void run(ReplicaSession session, long now) {
      action.accept(session);
    }

    @Override
    public void reject() {
      result.completeExceptionally(new NotLeaderException(""));
    }
  }
}
