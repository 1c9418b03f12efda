package org.clementinesail.server.fleet;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.StatementRenewals;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.wire.FleetCodec;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.StateCodec;
import org.clementinesail.wire.proto.FleetUpdate;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Subscribe;

/**
 * Collects the state of targets on a control VM and sends updates to the VMs that subscribed.
 * Confined to the event loop.
 */
public final class FleetPublisher {
  /**
   * Interval at which lease renewals and reports are sent in one update; changes of phase or layers
   * are sent at once.
   */
  private static final long SEND_INTERVAL_MS = 250;

  /**
   * Shortest time between two versions of the desired state sent to a VM, because each is a whole
   * document.
   */
  private static final long MIN_PUSH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** How long a subscription is valid; subscribers renew it about every second. */
  private static final long SUBSCRIPTION_TTL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EventLoop loop;
  private final PeerNetwork network;
  private final Fleet fleet;
  private final Supplier<Set<String>> controlVms;
  private final BooleanSupplier isLeader;
  private final BooleanSupplier leaderKnown;
  private final IntSupplier cutOffVms;
  private final DecisionLog log;
  private final FleetUpdateReader updateReader;
  private final Map<String, Subscriber> subscribers = new HashMap<>();
  private final StatementRenewals renewals;
  private final UnsentNews unsent = new UnsentNews();
  private Optional<DesiredDocument> desired = Optional.empty();
  private final List<Runnable> pushCallbacks = new ArrayList<>();
  private boolean pushScheduled;
  private long desiredPushedAt = System.nanoTime() - MIN_PUSH_INTERVAL_NANOS;

  private static final class Subscriber {
    long renewedAt;
    OptionalLong desiredVersion = OptionalLong.empty();
    boolean carriesTraffic;
    boolean acceptsRenewals;
  }

  /**
   * Creates a publisher; {@link #start} runs it.
   *
   * @param loop event loop that all methods are called on
   * @param network connections to other VMs
   * @param fleet state of all targets that this VM knows
   * @param controlVms supplies the addresses of the control VMs
   * @param isLeader whether this VM leads
   * @param leaderKnown whether this VM knows a leader; without one its desired state may be
   *     outdated
   * @param cutOffVms how many of the VMs that carry traffic reach no target of some service
   * @param log log of changes in the state of targets
   */
  public FleetPublisher(
      EventLoop loop,
      PeerNetwork network,
      Fleet fleet,
      Supplier<Set<String>> controlVms,
      BooleanSupplier isLeader,
      BooleanSupplier leaderKnown,
      IntSupplier cutOffVms,
      DecisionLog log) {
    this.loop = loop;
    this.network = network;
    this.fleet = fleet;
    this.controlVms = controlVms;
    this.isLeader = isLeader;
    this.leaderKnown = leaderKnown;
    this.cutOffVms = cutOffVms;
    this.log = log;
    this.renewals = new StatementRenewals(fleet);
    this.updateReader = new FleetUpdateReader(log);
  }

  /** Starts to send updates. */
  public void start() {
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("sending news of targets", this::sendUpdate),
        SEND_INTERVAL_MS,
        SEND_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the state of all targets that this VM knows. */
  public Fleet fleet() {
    return fleet;
  }

  /**
   * Records the state that a target reported to this VM.
   *
   * @param statement the reported state
   */
  public void onHeartbeat(TargetStatement statement) {
    fleet.recordContact(System.nanoTime());
    Optional<TargetStatement> known = fleet.member(statement.id()).map(Fleet.Member::statement);
    boolean changed = fleet.recordStatement(statement, System.nanoTime());
    unsent.add(statement, known.orElse(null));
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
   * Records that a target has deregistered, and sends the change at once.
   *
   * @param statement the target as {@link TargetStatement#deregistered}
   */
  public void onDeregistration(TargetStatement statement) {
    // Without a start it applies to the lifetime that this VM knows, and only to that one
    // elsewhere.
    onHeartbeat(
        statement.startedAtMillis() == 0
            ? fleet.recordDeregistration(statement.id(), System.nanoTime()).orElse(statement)
            : statement);
    sendUpdate();
  }

  /**
   * Records a report that this VM has requested from an engine.
   *
   * @param report the report
   * @param suspectUntil until when an engine that did not answer is suspect, on the {@link
   *     System#nanoTime} clock; the current time if it answered
   */
  public void onReport(EngineReport report, long suspectUntil) {
    fleet.recordReport(report, suspectUntil);
    unsent.add(report);
  }

  /**
   * Records an update from another control VM. It is not sent on to subscribers.
   *
   * @param update the update
   * @return whether this VM knows all statements that the update renews
   */
  public boolean onFleetUpdate(FleetUpdate update) {
    long now = System.nanoTime();
    if (FleetUpdateReader.hasStatements(update)) {
      fleet.recordContact(now);
    }
    updateReader.read(
        update, now, fleet::recordStatement, report -> fleet.recordReport(report, now));
    return updateReader.readRenewals(update, now, renewals);
  }

  /**
   * Adds or renews a subscription.
   *
   * @param vm name of the subscriber
   * @param subscribe the version of the desired state that the subscriber holds, whether it carries
   *     traffic, and whether it needs a full update
   */
  public void onSubscribe(String vm, Subscribe subscribe) {
    Subscriber subscriber = subscribers.computeIfAbsent(vm, key -> new Subscriber());
    subscriber.renewedAt = System.nanoTime();
    subscriber.carriesTraffic = subscribe.getCarriesTraffic();
    subscriber.acceptsRenewals = subscribe.getAcceptsRenewals();
    subscriber.desiredVersion = heldVersion(subscribe);
    if (subscribe.getEverything()) {
      network.send(vm, frame(fullUpdate()));
    }
    if (subscriber.carriesTraffic && leaderKnown.getAsBoolean()) {
      sendDesired(vm, subscriber);
    }
  }

  /** Returns the names of the subscribed VMs that carry traffic. */
  public List<String> trafficVms() {
    return subscribers.entrySet().stream()
        .filter(entry -> entry.getValue().carriesTraffic)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Stores a newly accepted version of the desired state. If this VM leads, sends it to the VMs
   * that carry traffic, at once or after the shortest interval between versions.
   *
   * @param document the version; ignored unless newer than the current one
   */
  public void desired(DesiredDocument document) {
    if (document.replaces(desired)) {
      desired = Optional.of(document);
      if (pushScheduled) {
        return;
      }
      long delayNanos = desiredPushedAt + MIN_PUSH_INTERVAL_NANOS - System.nanoTime();
      if (delayNanos <= 0) {
        pushDesired();
      } else {
        // Of several versions in quick succession only the newest is sent.
        pushScheduled = true;
        loop.schedule(this::pushDesired, delayNanos, TimeUnit.NANOSECONDS);
      }
    }
  }

  /** Returns the newest version of the desired state on this VM, or empty if there is none. */
  public Optional<DesiredDocument> desired() {
    return desired;
  }

  /**
   * Runs a callback once the newest version has been sent to the VMs that carry traffic. If a
   * version were acknowledged earlier and the control VMs failed at that moment, these VMs would
   * miss it.
   *
   * @param callback runs on the event loop, at once if no push is scheduled
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
    if (desired.isEmpty()) {
      return;
    }
    DesiredDocument document = desired.get();
    OptionalLong held = subscriber.desiredVersion;
    boolean outdated = held.isEmpty() || held.getAsLong() < document.version();
    if (outdated
        && network.send(vm, Frame.newBuilder().setDesired(StateCodec.encode(document)).build())) {
      subscriber.desiredVersion = OptionalLong.of(document.version());
    }
  }

  /** Returns the version that a subscriber holds; builds before state 0 if they hold none. */
  private static OptionalLong heldVersion(Subscribe subscribe) {
    return subscribe.getHoldsDesired() || subscribe.getDesiredVersion() != 0
        ? OptionalLong.of(subscribe.getDesiredVersion())
        : OptionalLong.empty();
  }

  private void sendUpdate() {
    long now = System.nanoTime();
    subscribers.values().removeIf(s -> now - s.renewedAt > SUBSCRIPTION_TTL_NANOS);
    if (unsent.isEmpty()) {
      return;
    }
    FleetUpdate header = newUpdate().build();
    send(false, () -> unsent.statements(header, now));
    send(true, () -> unsent.renewals(header, now));
    unsent.clear();
  }

  private void send(boolean acceptsRenewals, Supplier<FleetUpdate> update) {
    List<String> vms =
        subscribers.entrySet().stream()
            .filter(entry -> entry.getValue().acceptsRenewals == acceptsRenewals)
            .map(Map.Entry::getKey)
            .toList();
    if (!vms.isEmpty()) {
      Frame frame = frame(update.get());
      vms.forEach(vm -> network.send(vm, frame));
    }
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
    int trafficVms = trafficVms().size();
    return FleetUpdate.newBuilder()
        .setTrafficVms(trafficVms)
        .setSendingVms(Math.max(1, trafficVms - cutOffVms.getAsInt()))
        .addAllControlVms(new HashSet<>(controlVms.get()));
  }

  private static Frame frame(FleetUpdate update) {
    return Frame.newBuilder().setFleet(update).build();
  }
}
