package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.ratelimits.Permits;
import org.clementinesail.core.ratelimits.RateLimit;
import org.clementinesail.core.ratelimits.RateStatement;
import org.clementinesail.core.ratelimits.SendPermissions;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.logging.RateLimitLog;

/**
 * Exchanges the limits that targets name, and this VM's demand, with the control VMs. Confined to
 * the event loop.
 */
public final class RateLimitReports {
  /** Interval at which demand is reported while there are limits. */
  private static final long REPORT_INTERVAL_MS = 250;

  private final RoutingState routing;
  private final ReachabilityChecks checks;
  private final DecisionLog log;
  private final EventLoop loop;
  private Sender sender = new Sender(limits -> {}, (perSecond, closed) -> {});
  private final Map<String, RateLimit> unsent = new HashMap<>();

  /** Sends a report of demand. */
  @FunctionalInterface
  public interface DemandSender {
    /**
     * Sends a report.
     *
     * @param perSecond requests per second by service
     * @param closed grants that are used up or have expired
     */
    void send(Map<String, Double> perSecond, List<Permits.Closed> closed);
  }

  /**
   * Sends reports to the control VMs; called on the event loop.
   *
   * @param limits sends limits that have changed
   * @param demand sends this VM's demand
   */
  public record Sender(Consumer<List<RateLimit>> limits, DemandSender demand) {}

  RateLimitReports(
      EventLoop loop, RoutingState routing, ReachabilityChecks checks, DecisionLog log) {
    this.loop = loop;
    this.routing = routing;
    this.checks = checks;
    this.log = log;
  }

  /**
   * Starts to send reports.
   *
   * @param next sends the reports
   */
  public void start(Sender next) {
    sender = next;
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("reporting the demand", this::reportDemand),
        REPORT_INTERVAL_MS,
        REPORT_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns all records of limits, for a VM that has just connected. */
  public List<RateLimit> records() {
    return permissions().records();
  }

  /**
   * Adds limits that other VMs know.
   *
   * @param limits records with times of this VM's clock
   */
  public void receive(List<RateLimit> limits) {
    long now = System.nanoTime();
    for (RateLimit limit : limits) {
      if (permissions().record(limit, now)) {
        RateLimitLog.write(log, limit, "another VM", now);
      }
    }
  }

  /**
   * Adds permits.
   *
   * @param grants permits from the control VM that leads; may be empty
   */
  public void receiveGrants(List<Permits.Grant> grants) {
    permissions().receive(grants, System.nanoTime());
  }

  /** Records what an answer states, and reports a change at once. */
  void recordAnswer(TargetStatement target, RateStatement statement, long sentAt) {
    long now = System.nanoTime();
    permissions()
        .recordAnswer(target, statement, sentAt, now)
        .ifPresent(
            limit -> {
              RateLimitLog.write(log, limit, "answer", now);
              if (unsent.isEmpty()) {
                loop.execute(this::sendChanges);
              }
              unsent.put(limit.target(), limit);
            });
  }

  private void sendChanges() {
    List<RateLimit> changes = List.copyOf(unsent.values());
    unsent.clear();
    sender.limits().accept(changes);
  }

  private void reportDemand() {
    if (permissions().hasLimits()) {
      long now = System.nanoTime();
      permissions().removeUnknown(id -> routing.fleet().member(id).isPresent());
      Map<String, Double> demand = routing.demand().rates(now);
      // Permits would be of no use for services that this VM does not reach.
      checks.reachability().cutOff().forEach(demand::remove);
      sender.demand().send(demand, permissions().takeClosed(now));
    }
  }

  private SendPermissions permissions() {
    return routing.permissions();
  }
}
