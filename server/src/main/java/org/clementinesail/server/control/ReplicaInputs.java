package org.clementinesail.server.control;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Inputs that wait for the replica's thread, limited in number and size, because a write may hang
 * for seconds while other VMs and operators go on sending. May be used from any thread.
 */
final class ReplicaInputs {
  /** Messages of all other VMs during half a minute at 200 ms each; most hold few bytes. */
  private static final int MAX_TASKS = 4_096;

  /** Bytes that may wait, a tenth of a small VM's heap; a larger input may wait alone. */
  private static final long MAX_BYTES = 16L * 1_024 * 1_024;

  private final BlockingQueue<ReplicaTask> tasks = new LinkedBlockingQueue<>();
  private final AtomicLong bytes = new AtomicLong();

  /** Adds an input, or rejects it if too many or too large ones wait. */
  void offer(ReplicaTask task) {
    long size = task.bytes();
    long total = bytes.addAndGet(size);
    boolean tooLarge = size > 0 && total > MAX_BYTES && total > size;
    if (tooLarge || tasks.size() >= MAX_TASKS) {
      bytes.addAndGet(-size);
      task.reject();
      return;
    }
    tasks.add(task);
  }

  /** Returns the next input, or null if none arrives in time. */
  @Nullable ReplicaTask poll(long timeout, TimeUnit unit) throws InterruptedException {
    ReplicaTask task = tasks.poll(timeout, unit);
    if (task != null) {
      bytes.addAndGet(-task.bytes());
    }
    return task;
  }

  /** Moves waiting inputs to a batch, without waiting. */
  void drainTo(List<ReplicaTask> batch, int most) {
    int first = batch.size();
    tasks.drainTo(batch, most);
    for (ReplicaTask task : batch.subList(first, batch.size())) {
      bytes.addAndGet(-task.bytes());
    }
  }

  /** Returns how many bytes wait. */
  long bytes() {
    return bytes.get();
  }
}
