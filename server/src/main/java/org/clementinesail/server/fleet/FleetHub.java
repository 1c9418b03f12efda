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
public final class FleetHub {
  /** How often renewals and reports are sent together; phases and layers are sent at once. */
  private static final long SEND_MS = 250;

  /** Shortest time between two versions sent to one VM; each is a whole document. */
  private static final long PUSH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** How long a subscription holds; subscribers renew it about every second. */
  private static final long SUBSCRIPTION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EventLoop loop;
  private final PeerNetwork network;
  private final Fleet fleet;
  private final Supplier<Set<String>> controlVms;
  private final BooleanSupplier leading;
  private final BooleanSupplier inTouch;
  private final DecisionLog log;
  private final Map<String, Subscriber> subscribers = new HashMap<>();
  private final Map<String, TargetStatement> statements = new LinkedHashMap<>();
  private final Map<String, EngineReport> reports = new LinkedHashMap<>();
  private DesiredDocument desired = DesiredDocument.NONE;
  private final List<Runnable> waitingForPush = new ArrayList<>();
  private boolean desiredDue;
  private long desiredPushedAt = System.nanoTime() - PUSH_INTERVAL_NANOS;

  private static final class Subscriber {
    long seenAt;
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
   * @param leading whether this VM leads
   * @param inTouch whether this VM knows a leader, so that its desired state is not an old one
   * @param log lines for decisions
   */
  public FleetHub(
      EventLoop loop,
      PeerNetwork network,
      Fleet fleet,
      Supplier<Set<String>> controlVms,
      BooleanSupplier leading,
      BooleanSupplier inTouch,
      DecisionLog log) {
    this.loop = loop;
    this.network = network;
    this.fleet = fleet;
    this.controlVms = controlVms;
    this.leading = leading;
    this.inTouch = inTouch;
    this.log = log;
  }

  /** Begins to send news. */
  public void start() {
    loop.scheduleWithFixedDelay(this::send, SEND_MS, SEND_MS, TimeUnit.MILLISECONDS);
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
  public void heard(TargetStatement statement) {
    fleet.recordContact(System.nanoTime());
    boolean news = fleet.recordStatement(statement, System.nanoTime());
    statements.put(statement.id(), statement);
    if (news) {
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
      send();
    }
  }

  /**
   * Takes a target's goodbye.
   *
   * @param id identity of the target
   */
  public void left(String id) {
    heard(
        fleet.recordDeregistration(id, System.nanoTime()).orElse(TargetStatement.deregistered(id)));
    send();
  }

  /**
   * Takes a report that this VM has asked for.
   *
   * @param report the report
   * @param suspectUntil until when a silent engine is set aside
   */
  public void reported(EngineReport report, long suspectUntil) {
    fleet.recordReport(report, suspectUntil);
    reports.put(report.id(), report);
  }

  /**
   * Takes news from another control VM; they are not passed on.
   *
   * @param update the news
   */
  public void update(FleetUpdate update) {
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
  public void subscribed(String vm, Subscribe subscribe) {
    Subscriber subscriber = subscribers.computeIfAbsent(vm, key -> new Subscriber());
    subscriber.seenAt = System.nanoTime();
    subscriber.carriesTraffic = subscribe.getCarriesTraffic();
    subscriber.desiredVersion = subscribe.getDesiredVersion();
    if (subscribe.getEverything()) {
      network.send(vm, frame(everything()));
    }
    if (subscriber.carriesTraffic && inTouch.getAsBoolean()) {
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
      if (desiredDue) {
        return;
      }
      long wait = desiredPushedAt + PUSH_INTERVAL_NANOS - System.nanoTime();
      if (wait <= 0) {
        pushDesired();
      } else {
        // Versions in quick succession travel as one.
        desiredDue = true;
        loop.schedule(this::pushDesired, wait, TimeUnit.NANOSECONDS);
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
   * @param then what to run, on the event loop
   */
  public void afterPush(Runnable then) {
    if (desiredDue) {
      waitingForPush.add(then);
    } else {
      then.run();
    }
  }

  private void pushDesired() {
    desiredDue = false;
    desiredPushedAt = System.nanoTime();
    sendDesiredToAll();
    List<Runnable> waiting = List.copyOf(waitingForPush);
    waitingForPush.clear();
    waiting.forEach(Runnable::run);
  }

  private void sendDesiredToAll() {
    if (leading.getAsBoolean()) {
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

  private void send() {
    long now = System.nanoTime();
    subscribers.values().removeIf(s -> now - s.seenAt > SUBSCRIPTION_NANOS);
    if (statements.isEmpty() && reports.isEmpty()) {
      return;
    }
    FleetUpdate.Builder update = header();
    statements.values().forEach(s -> update.addStatements(FleetCodec.encode(s, now, now)));
    reports.values().forEach(r -> update.addReports(FleetCodec.encode(r, now)));
    statements.clear();
    reports.clear();
    Frame frame = frame(update.build());
    subscribers.keySet().forEach(vm -> network.send(vm, frame));
  }

  private FleetUpdate everything() {
    long now = System.nanoTime();
    FleetUpdate.Builder update = header();
    for (Fleet.Member member : fleet.members()) {
      update.addStatements(FleetCodec.encode(member.statement(), member.receivedAt(), now));
      EngineReport report = member.report();
      if (report != null) {
        update.addReports(FleetCodec.encode(report, now));
      }
    }
    return update.build();
  }

  private FleetUpdate.Builder header() {
    long traffic = subscribers.values().stream().filter(s -> s.carriesTraffic).count();
    return FleetUpdate.newBuilder()
        .setTrafficVms((int) traffic)
        .addAllControlVms(new HashSet<>(controlVms.get()));
  }

  private static Frame frame(FleetUpdate update) {
    return Frame.newBuilder().setFleet(update).build();
  }
}
