package org.clementinesail.server.fleet;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.ratelimits.PermitIssuer;
import org.clementinesail.core.ratelimits.Permits;
import org.clementinesail.core.ratelimits.RateLimit;
import org.clementinesail.core.ratelimits.RateLimits;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.logging.RateLimitLog;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.RateLimitCodec;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.PermitDemand;
import org.clementinesail.wire.proto.RateLimitList;
import org.jspecify.annotations.Nullable;

/**
 * Passes the limits that targets name on to the VMs that carry traffic, and grants them permits
 * while this control VM leads. Confined to the event loop.
 *
 * <pre>{@code
 * PermitCoordinator permits =
 *     new PermitCoordinator(
 *         loop, network, fleet, publisher::trafficVms, this::isLeader, this::knowsLeader, log);
 * permits.start();
 * }</pre>
 */
public final class PermitCoordinator {
  private static final long GRANT_INTERVAL_MS = 250;

  /** Longest time between two messages to a VM that gets no permits, to show who leads. */
  private static final long MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time for which changes are collected, as many VMs may report one at the same moment. */
  private static final long SEND_DELAY_MS = 5;

  private final EventLoop loop;
  private final PeerNetwork network;
  private final Fleet fleet;
  private final Supplier<Collection<String>> trafficVms;
  private final BooleanSupplier isLeader;
  private final BooleanSupplier leaderKnown;
  private final DecisionLog log;
  private final RandomGenerator random = RandomGenerator.getDefault();
  private final RateLimits limits = new RateLimits();
  private final Map<String, RateLimit> changed = new LinkedHashMap<>();

  /** Null unless this VM leads. */
  private @Nullable PermitIssuer issuer;

  private long announcedAt;

  /**
   * Creates a coordinator; {@link #start} runs it.
   *
   * @param loop event loop that all methods are called on
   * @param network connections to other VMs
   * @param fleet state of the targets
   * @param trafficVms supplies the names of the VMs that carry traffic
   * @param isLeader whether this VM leads
   * @param leaderKnown whether this VM knows a leader
   * @param log receives changes of limits
   */
  public PermitCoordinator(
      EventLoop loop,
      PeerNetwork network,
      Fleet fleet,
      Supplier<Collection<String>> trafficVms,
      BooleanSupplier isLeader,
      BooleanSupplier leaderKnown,
      DecisionLog log) {
    this.loop = loop;
    this.network = network;
    this.fleet = fleet;
    this.trafficVms = trafficVms;
    this.isLeader = isLeader;
    this.leaderKnown = leaderKnown;
    this.log = log;
  }

  /** Starts to grant permits. */
  public void start() {
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("granting permits", this::grant),
        GRANT_INTERVAL_MS,
        GRANT_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Adds limits, and passes on those that have changed if this VM leads or if none does.
   *
   * @param list limits that one VM knows
   */
  public void receive(RateLimitList list) {
    long now = System.nanoTime();
    for (RateLimit limit : RateLimitCodec.decode(list, now)) {
      if (limits.merge(limit)) {
        RateLimitLog.write(log, limit, "VM", now);
        if (changed.isEmpty()) {
          loop.schedule(this::sendChanges, SEND_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        changed.put(limit.target(), limit);
      }
    }
  }

  /**
   * Records the demand of a VM.
   *
   * @param vm name of the VM
   * @param demand the VM's report
   */
  public void receive(String vm, PermitDemand demand) {
    PermitIssuer current = issuer;
    if (current != null) {
      current.recordDemand(
          vm, RateLimitCodec.demands(demand), RateLimitCodec.closed(demand), System.nanoTime());
    }
  }

  /**
   * Sends all limits to a VM that has just subscribed.
   *
   * @param vm name of the VM
   */
  public void sendAll(String vm) {
    if (!limits.records().isEmpty()) {
      network.send(vm, RateLimitCodec.encode(limits.records(), System.nanoTime()));
    }
  }

  private void sendChanges() {
    List<RateLimit> changes = List.copyOf(changed.values());
    changed.clear();
    if (isLeader.getAsBoolean() || !leaderKnown.getAsBoolean()) {
      sendToAll(RateLimitCodec.encode(changes, System.nanoTime()));
    }
  }

  private void sendToAll(Frame frame) {
    trafficVms.get().forEach(vm -> network.send(vm, frame));
  }

  private void grant() {
    long now = System.nanoTime();
    limits.removeUnknown(id -> fleet.member(id).isPresent());
    if (!isLeader.getAsBoolean()) {
      issuer = null;
      return;
    }
    if (limits.limited().isEmpty()) {
      return;
    }
    PermitIssuer current = issuer;
    if (current == null) {
      current = new PermitIssuer(random, now);
      issuer = current;
      // The earlier leader may have ended before it passed on the last changes.
      sendToAll(RateLimitCodec.encode(limits.records(), now));
    }
    Map<String, List<Permits.Grant>> grants = current.grant(limits, fleet, now);
    if (now - announcedAt >= MAX_SILENCE_NANOS) {
      announcedAt = now;
      trafficVms.get().forEach(vm -> send(vm, grants.getOrDefault(vm, List.of())));
    } else {
      grants.forEach(this::send);
    }
  }

  private void send(String vm, List<Permits.Grant> grants) {
    network.send(vm, RateLimitCodec.encodeGrants(grants));
  }
}
