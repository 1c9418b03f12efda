package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.reachability.ServiceReachability;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;

/**
 * Connects to targets to find out whether this VM is cut off from a service. Confined to the event
 * loop.
 */
public final class ReachabilityChecks {
  /** Interval of checks while this VM is cut off from a service. */
  private static final long REPEAT_INTERVAL_MS = 500;

  /**
   * A check that ends later than this says nothing about the targets: the process did not get
   * enough processor time.
   */
  private static final long MAX_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Timeout of connects; callers wait meanwhile. */
  private static final int CONNECT_TIMEOUT_MS = 300;

  private final RoutingState routing;
  private final ListenerCheck listenerCheck;
  private final DecisionLog log;
  private final ServiceReachability reachability = new ServiceReachability(new Random());
  private final Map<String, PendingCheck> pending = new HashMap<>();
  private Runnable onChange = () -> {};

  ReachabilityChecks(RoutingState routing, EventLoop loop, DecisionLog log) {
    this.routing = routing;
    // Of its own, so that no result of it is used to find out which target has ended.
    this.listenerCheck = new ListenerCheck(loop, CONNECT_TIMEOUT_MS);
    this.log = log;
  }

  /**
   * Starts to repeat checks while this VM is cut off.
   *
   * @param loop event loop that all methods are called on
   * @param listener called when this VM is cut off from a service or reaches it again
   */
  public void start(EventLoop loop, Runnable listener) {
    onChange = listener;
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("checking whether targets are reachable", this::repeat),
        REPEAT_INTERVAL_MS,
        REPEAT_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns what the checks have shown. */
  public ServiceReachability reachability() {
    return reachability;
  }

  private void repeat() {
    reachability.cutOff().forEach(this::check);
  }

  /** Starts a check of a service unless one was made just now. */
  void check(String service) {
    startCheck(service, () -> {});
  }

  /** Takes other services for unreachable, too, until a check has shown whether they are. */
  private void checkOthers(String service) {
    for (String other : services()) {
      if (!other.equals(service) && !reachability.isCutOff(other)) {
        startCheck(other, () -> reachability.presumeCutOff(other));
      }
    }
  }

  private void startCheck(String service, Runnable onStart) {
    long now = System.nanoTime();
    List<Fleet.Member> ready = routing.fleet().ready(service, now);
    List<TargetStatement> targets = reachability.startCheck(service, ready, now);
    if (!targets.isEmpty()) {
      PendingCheck started = new PendingCheck(service, targets, now);
      pending.put(service, started);
      onStart.run();
      started.connect();
    }
  }

  /**
   * Finds out whether this VM reaches a service, by the check in progress or else by a new one.
   *
   * @param onChecked receives whether it does
   */
  void confirm(String service, Consumer<Boolean> onChecked) {
    check(service);
    PendingCheck check = pending.get(service);
    if (check == null) {
      onChecked.accept(!reachability.isCutOff(service));
    } else {
      check.listeners.add(onChecked);
    }
  }

  /**
   * Finds out whether this VM reaches a target of any service.
   *
   * @param onChecked receives whether it does
   */
  void confirmAny(Consumer<Boolean> onChecked) {
    confirmAny(services().iterator(), onChecked);
  }

  private Set<String> services() {
    Set<String> services = new LinkedHashSet<>();
    routing.fleet().members().forEach(member -> services.add(member.statement().service()));
    return services;
  }

  private void confirmAny(Iterator<String> services, Consumer<Boolean> onChecked) {
    if (services.hasNext()) {
      confirm(
          services.next(),
          reached -> {
            if (reached) {
              onChecked.accept(true);
            } else {
              confirmAny(services, onChecked);
            }
          });
    } else {
      onChecked.accept(false);
    }
  }

  private final class PendingCheck {
    private final String service;
    private final List<TargetStatement> targets;
    private final long startedAt;
    private final List<Consumer<Boolean>> listeners = new ArrayList<>();
    private int answered;
    private int accepted;
    private boolean finished;

    PendingCheck(String service, List<TargetStatement> targets, long startedAt) {
      this.service = service;
      this.targets = targets;
      this.startedAt = startedAt;
    }

    void connect() {
      targets.forEach(target -> listenerCheck.check(target.address(), 0, this::onOutcome));
    }

    private void onOutcome(ListenerCheck.Outcome outcome) {
      answered++;
      if (outcome == ListenerCheck.Outcome.ACCEPTS) {
        accepted++;
      }
      boolean decided = accepted > 0 && !reachability.isCutOff(service);
      if (!finished && (decided || answered == targets.size())) {
        finish();
      }
    }

    private void finish() {
      finished = true;
      pending.remove(service);
      long now = System.nanoTime();
      boolean tooLate = accepted == 0 && now - startedAt > MAX_CHECK_NANOS;
      int counted = tooLate && !reachability.isCutOff(service) ? targets.size() : accepted;
      if (reachability.recordCheck(service, counted, targets.size(), now)) {
        log.write(
            reachability.isCutOff(service) ? "cut off from a service" : "service reached again",
            "service",
            service,
            "checked",
            targets.size(),
            "accepted",
            accepted,
            "after_ms",
            TimeUnit.NANOSECONDS.toMillis(now - startedAt));
        onChange.run();
        if (reachability.isCutOff(service)) {
          checkOthers(service);
        }
      }
      boolean reached = !reachability.isCutOff(service);
      listeners.forEach(listener -> listener.accept(reached));
    }
  }
}
