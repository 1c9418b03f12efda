package org.clementinesail.server.logging;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.load.LoadBounds;

/** Lines about the load of all VMs. Not thread-safe. */
public final class LoadLog {
  /** A faulty build sends invalid values four times a second. */
  private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final DecisionLog log;
  private long loggedAt;
  private int unlogged;
  private boolean used;

  /**
   * Creates a log.
   *
   * @param log receives the lines
   */
  public LoadLog(DecisionLog log) {
    this.log = log;
  }

  /**
   * Logs values that do not count as they are out of range; at most one line a second.
   *
   * @param vm VM that sent them
   * @param values the values; nothing is logged if there are none
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void rejected(String vm, List<LoadBounds.Rejected> values, long now) {
    if (values.isEmpty()) {
      return;
    }
    if (used && now - loggedAt < MIN_INTERVAL_NANOS) {
      unlogged += values.size();
      return;
    }
    log.write("invalid load left out", "peer", vm, "values", values, "not_logged", unlogged);
    used = true;
    loggedAt = now;
    unlogged = 0;
  }

  /**
   * Logs that routing begins or ends to use the load of all VMs.
   *
   * @param load last known load
   * @param known whether it is recent enough
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void known(FleetLoad load, boolean known, long now) {
    log.write(
        known ? "load of all VMs known" : "load of all VMs not known",
        "vms",
        load.reportingVms(),
        "age_ms",
        TimeUnit.NANOSECONDS.toMillis(now - load.observedAt()));
  }
}
