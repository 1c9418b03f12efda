package org.clementinesail.server.fleet;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.wire.FleetCodec;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.StateCodec;
import org.clementinesail.wire.proto.FleetUpdate;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Subscribe;

/**
 * A control VM's view of the targets, and the news that it sends to the VMs that subscribed.
 * Confined to the event loop.
 */
public final class FleetPublisher {
  /** How often renewals and reports are sent together; phases and layers are sent at once. */
  private static final long SEND_INTERVAL_MS = 250;

  /** Shortest time between two versions sent to one VM; each is a whole document. */
  private static final long MIN_PUSH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** How long a subscription holds; subscribers renew it about every second. */
  private static final long SUBSCRIPTION_TTL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EventLoop loop;
  private final PeerNetwork network;
  private final Fleet fleet;
  private final Supplier<Set<String>> controlVms;
  private final BooleanSupplier isLeader;
  private final BooleanSupplier leaderKnown;
  private final DecisionLog log;
  private final Map<String, Subscriber> subscribers = new HashMap<>();
  private final Map<String, TargetStatement> statements = new LinkedHashMap<>();
  private final Map<String, EngineReport> reports = new LinkedHashMap<>();
  private DesiredDocument desired = DesiredDocument.NONE;
  private final List<Runnable> pushCallbacks = new ArrayList<>();
  private boolean pushScheduled;
  private long desiredPushedAt = System.nanoTime() - MIN_PUSH_INTERVAL_NANOS;

  private static final class Subscriber {
    long renewedAt;
    long desiredVersion;
    boolean carriesTraffic;
  }

  /**
   * Creates a hub.
   *
   * @param loop the event loop
   * @param network connections to other VMs
   * @param fleet what is known of targets
   * @param controlVms addresses of the control VMs
   * @param isLeader whether this VM leads
   * @param leaderKnown whether this VM knows a leader, so that its desired state is not an old one
   * @param log lines for decisions
   */
  public FleetPublisher(
      EventLoop loop,
      PeerNetwork network,
      Fleet fleet,
      Supplier<Set<String>> controlVms,
      BooleanSupplier isLeader,
      BooleanSupplier leaderKnown,
      DecisionLog log) {
    this.loop = loop;
    this.network = network;
    this.fleet = fleet;
    this.controlVms = controlVms;
    this.isLeader = isLeader;
    this.leaderKnown = leaderKnown;
    this.log = log;
  }

  /** Begins to send news. */
  public void start() {
    loop.scheduleWithFixedDelay(
        this::sendUpdate, SEND_INTERVAL_MS, SEND_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns what is known of targets. */
  public Fleet fleet() {
    return fleet;
  }

  /**
   * Takes what a target said to this VM.
   *
   * @param statement the statement
   */
  public void onHeartbeat(TargetStatement statement) {
    fleet.recordContact(System.nanoTime());
    boolean changed = fleet.recordStatement(statement, System.nanoTime());
    statements.put(statement.id(), statement);
    if (changed) {
      log.write(
          "target",
          "target",
          statement.id(),
          "service",
          statement.service(),
          "address",
          statement.address(),
          "phase",
          statement.phase(),
          "layers",
          String.valueOf(statement.layers()),
          "sequence",
          statement.sequence());
      sendUpdate();
    }
  }

  /**
   * Takes a target's goodbye.
   *
   * @param id identity of the target
   */
  public void onDeregistration(String id) {
    onHeartbeat(
        fleet.recordDeregistration(id, System.nanoTime()).orElse(TargetStatement.deregistered(id)));
    sendUpdate();
  }

  /**
   * Takes a report that this VM has asked for.
   *
   * @param report the report
   * @param suspectUntil until when a silent engine is set aside
   */
  public void onReport(EngineReport report, long suspectUntil) {
    fleet.recordReport(report, suspectUntil);
    reports.put(report.id(), report);
  }

  /**
   * Takes news from another control VM; they are not passed on.
   *
   * @param update the news
   */
  public void onFleetUpdate(FleetUpdate update) {
    long now = System.nanoTime();
    if (update.getStatementsCount() > 0) {
      fleet.recordContact(now);
    }
    update
        .getStatementsList()
        .forEach(
            s -> fleet.recordStatement(FleetCodec.decode(s), FleetCodec.at(s.getAgeMillis(), now)));
    update.getReportsList().forEach(r -> fleet.recordReport(FleetCodec.decode(r, now), now));
  }

  /**
   * Takes or renews a subscription.
   *
   * @param vm name of the subscriber
   * @param subscribe what it holds and wants
   */
  public void onSubscribe(String vm, Subscribe subscribe) {
    Subscriber subscriber = subscribers.computeIfAbsent(vm, key -> new Subscriber());
    subscriber.renewedAt = System.nanoTime();
    subscriber.carriesTraffic = subscribe.getCarriesTraffic();
    subscriber.desiredVersion = subscribe.getDesiredVersion();
    if (subscribe.getEverything()) {
      network.send(vm, frame(fullUpdate()));
    }
    if (subscriber.carriesTraffic && leaderKnown.getAsBoolean()) {
      sendDesired(vm, subscriber);
    }
  }

  /**
   * Takes a newly accepted version of the desired state.
   *
   * @param document the version
   */
  public void desired(DesiredDocument document) {
    if (document.version() > desired.version()) {
      desired = document;
      if (pushScheduled) {
        return;
      }
      long delayNanos = desiredPushedAt + MIN_PUSH_INTERVAL_NANOS - System.nanoTime();
      if (delayNanos <= 0) {
        pushDesired();
      } else {
        // Versions in quick succession travel as one.
        pushScheduled = true;
        loop.schedule(this::pushDesired, delayNanos, TimeUnit.NANOSECONDS);
      }
    }
  }

  /** Returns the newest version of the desired state that this VM holds. */
  public DesiredDocument desired() {
    return desired;
  }

  /**
   * Runs something once the newest version has been sent to the VMs that carry traffic: a version
   * that is acknowledged before is lost to them if the control VMs fail at that moment.
   *
   * @param callback what to run, on the event loop
   */
  public void runAfterPush(Runnable callback) {
    if (pushScheduled) {
      pushCallbacks.add(callback);
    } else {
      callback.run();
    }
  }

  private void pushDesired() {
    pushScheduled = false;
    desiredPushedAt = System.nanoTime();
    sendDesiredToAll();
    List<Runnable> callbacks = List.copyOf(pushCallbacks);
    pushCallbacks.clear();
    callbacks.forEach(Runnable::run);
  }

  private void sendDesiredToAll() {
    if (isLeader.getAsBoolean()) {
      subscribers.forEach(
          (vm, subscriber) -> {
            if (subscriber.carriesTraffic) {
              sendDesired(vm, subscriber);
            }
          });
    }
  }

  private void sendDesired(String vm, Subscriber subscriber) {
    if (subscriber.desiredVersion < desired.version()
        && network.send(vm, Frame.newBuilder().setDesired(StateCodec.encode(desired)).build())) {
      subscriber.desiredVersion = desired.version();
    }
  }

  private void sendUpdate() {
    long now = System.nanoTime();
    subscribers.values().removeIf(s -> now - s.renewedAt > SUBSCRIPTION_TTL_NANOS);
    if (statements.isEmpty() && reports.isEmpty()) {
      return;
    }
    FleetUpdate.Builder update = newUpdate();
    statements.values().forEach(s -> update.addStatements(FleetCodec.encode(s, now, now)));
    reports.values().forEach(r -> update.addReports(FleetCodec.encode(r, now)));
    statements.clear();
    reports.clear();
    Frame frame = frame(update.build());
    subscribers.keySet().forEach(vm -> network.send(vm, frame));
  }

  private FleetUpdate fullUpdate() {
    long now = System.nanoTime();
    FleetUpdate.Builder update = newUpdate();
    for (Fleet.Member member : fleet.members()) {
      update.addStatements(FleetCodec.encode(member.statement(), member.receivedAt(), now));
      EngineReport report = member.report();
      if (report != null) {
        update.addReports(FleetCodec.encode(report, now));
      }
    }
    return update.build();
  }

  private FleetUpdate.Builder newUpdate() {
    long trafficVms = subscribers.values().stream().filter(s -> s.carriesTraffic).count();
    return FleetUpdate.newBuilder()
        .setTrafficVms((int) trafficVms)
        .addAllControlVms(new HashSet<>(controlVms.get()));
  }

  private static Frame frame(FleetUpdate update) {
    return Frame.newBuilder().setFleet(update).build();
  }
}
