package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.core.crashes.CrashRecord;
import org.clementinesail.core.crashes.PartCrashes;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.server.logging.DecisionLog;

/**
 * Records which parts were in requests when targets crashed, and exchanges this with the other VMs.
 * Confined to the event loop.
 */
public final class CrashReports {
  /** Time for which changes are collected, so that a crash with many requests is one message. */
  private static final long SEND_DELAY_MS = 5;

  /** Longest wait for a crashed target to refuse a connection before a request is retried. */
  private static final long MAX_CONFIRM_MS = 50;

  private static final long MAX_RESULT_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EventLoop loop;
  private final FaultDetector faults;
  private final DecisionLog log;
  private final PartCrashes parts;
  private final Map<Long, CrashRecord> unsent = new HashMap<>();
  private Consumer<List<CrashRecord>> sender = records -> {};

  CrashReports(EventLoop loop, FaultDetector faults, RoutingState routing, DecisionLog log) {
    this.loop = loop;
    this.faults = faults;
    this.log = log;
    this.parts = new PartCrashes(routing::trafficVms, routing.random().nextLong());
  }

  /**
   * Sets what sends changed records to the other VMs.
   *
   * @param sender receives the records on the event loop
   */
  public void sender(Consumer<List<CrashRecord>> sender) {
    this.sender = sender;
  }

  /** Returns all records, for a VM that has just connected. */
  public List<CrashRecord> records() {
    return parts.records();
  }

  /**
   * Adds records of other VMs.
   *
   * @param records records with times of this VM's clock
   */
  public void receive(List<CrashRecord> records) {
    long now = System.nanoTime();
    for (CrashRecord record : records) {
      if (parts.merge(record, now)) {
        parts.recallAnswer(record.key(), now).ifPresent(recalled -> send(List.of(recalled)));
        logRefusal(record.key(), now);
      }
    }
  }

  /** Returns whether no crashes are recorded, so that the parts of a request do not matter. */
  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Returns until when a request with these parts is refused, or empty if it may be sent. */
  OptionalLong refusedUntil(Collection<Long> keys, long now) {
    return parts.refusedUntil(keys, now);
  }

  void recordSent(Collection<Long> keys, long now) {
    parts.recordSent(keys, now);
  }

  /** Clears the parts of a request that a target has answered. */
  void recordAnswer(Collection<Long> keys) {
    List<CrashRecord> cleared = parts.recordAnswer(keys, System.nanoTime());
    if (!cleared.isEmpty()) {
      send(cleared);
    }
  }

  /**
   * A request that a target has lost before it answered.
   *
   * @param target the target
   * @param engine whether the target reports as an engine
   * @param keys parts of the request
   * @param sentAt when the request was sent, in nanoseconds of the monotonic clock
   */
  record Loss(TargetStatement target, boolean engine, List<Long> keys, long sentAt) {}

  /**
   * Records a crash if the target that lost a request has ended.
   *
   * @param loss the request
   * @param next called afterwards, or after 50 ms if the target neither responds nor refuses
   */
  void checkAfterLoss(Loss loss, Runnable next) {
    long lostAt = System.nanoTime();
    OneTimeTask once = new OneTimeTask(next);
    loop.schedule(once, MAX_CONFIRM_MS, TimeUnit.MILLISECONDS);
    Consumer<Boolean> onChecked = ended -> recordIfEnded(loss, lostAt, ended, once);
    if (loss.engine()) {
      faults.checkEngine(loss.target(), onChecked);
    } else {
      faults.checkListener(loss.target(), 0, onChecked);
    }
  }

  /**
   * Records a crash if a target without reports, which has not answered a request before its end,
   * has ended. Many requests may be late at once, so results of the last second are used again.
   */
  void checkAfterSilence(Loss loss) {
    long lostAt = System.nanoTime();
    faults.checkListener(
        loss.target(), MAX_RESULT_AGE_NANOS, ended -> recordIfEnded(loss, lostAt, ended, () -> {}));
  }

  /** Blames no target while this VM reaches none: its own links have failed. */
  private void recordIfEnded(Loss loss, long lostAt, boolean ended, Runnable next) {
    if (!ended) {
      next.run();
      return;
    }
    faults.confirmLinks(
        reached -> {
          if (reached) {
            recordCrash(loss.target(), loss.keys(), loss.sentAt(), lostAt);
          }
          next.run();
        });
  }

  private void recordCrash(TargetStatement target, List<Long> keys, long sentAt, long lostAt) {
    String start = target.id() + "@" + target.startedAtMillis();
    CrashRecord.Crash crash = new CrashRecord.Crash(start, sentAt, lostAt);
    log.write("target crashed", "target", target.id(), "parts", names(keys));
    send(keys.stream().map(key -> parts.recordCrash(key, crash)).toList());
    keys.forEach(key -> logRefusal(key, lostAt));
  }

  private void send(List<CrashRecord> records) {
    if (unsent.isEmpty()) {
      loop.schedule(this::sendChanges, SEND_DELAY_MS, TimeUnit.MILLISECONDS);
    }
    records.forEach(record -> unsent.put(record.key(), record));
  }

  private void sendChanges() {
    List<CrashRecord> changes = List.copyOf(unsent.values());
    unsent.clear();
    sender.accept(changes);
  }

  private void logRefusal(long key, long now) {
    parts
        .refusedUntil(List.of(key), now)
        .ifPresent(
            until ->
                log.write(
                    "part refused",
                    "part",
                    Long.toHexString(key),
                    "for_ms",
                    TimeUnit.NANOSECONDS.toMillis(until - now)));
  }

  private static String names(Collection<Long> keys) {
    return String.join(" ", keys.stream().map(Long::toHexString).toList());
  }

  /** Runs a task at the first call only. */
  private static final class OneTimeTask implements Runnable {
    private final Runnable task;
    private boolean done;

    OneTimeTask(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (!done) {
        done = true;
        task.run();
      }
    }
  }
}
