package org.clementinesail.server.nodes;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.clementinesail.core.crashes.CrashRecord;
import org.clementinesail.core.fleet.StatementRenewals;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.limits.ClientLimits;
import org.clementinesail.core.limits.LagDetector;
import org.clementinesail.core.limits.PlannedStop;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.ratelimits.Permits;
import org.clementinesail.core.ratelimits.RateLimit;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.fleet.ControlDialect;
import org.clementinesail.server.fleet.FleetUpdateReader;
import org.clementinesail.server.fleet.HttpEndpoint;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.Dialect;
import org.clementinesail.server.proxy.EngineDialect;
import org.clementinesail.server.proxy.LoadReports;
import org.clementinesail.server.proxy.ProxyMetrics;
import org.clementinesail.server.proxy.ProxyServer;
import org.clementinesail.server.proxy.RateLimitReports;
import org.clementinesail.server.proxy.RoutingState;
import org.clementinesail.wire.CrashCodec;
import org.clementinesail.wire.PeerListener;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.PeerVmCodec;
import org.clementinesail.wire.RateLimitCodec;
import org.clementinesail.wire.SharedSecret;
import org.clementinesail.wire.StateCodec;
import org.clementinesail.wire.proto.FleetUpdate;
import org.clementinesail.wire.proto.Frame;
import org.jspecify.annotations.Nullable;

/**
 * An entry VM: accepts callers' requests, and receives the desired state and the fleet from the
 * control VMs.
 *
 * <pre>{@code
 * EntryNode node = new EntryNode(settings, dialect, engineDialect, controlDialect, log);
 * node.start();
 * }</pre>
 */
public final class EntryNode implements Node {
  private static final int MAX_READINESS_BODY_BYTES = 4_096;

  /** Part of the descriptors and memory that the process needs itself. */
  private static final ClientLimits READINESS_LIMITS = new ClientLimits(1_048_576, 32, 0, 0);

  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;

  /** Time for the load balancer to see that the VM is not ready: two failed checks 1 s apart. */
  private static final long READINESS_DETECTION_MS = 2_600;

  /** Part of the grace period that is left unused before the process is killed. */
  private static final long STOP_MARGIN_MS = 700;

  /** Part of that margin in which the last answers are sent. */
  private static final long LAST_ANSWERS_MS = 300;

  private static final long STOP_CHECK_INTERVAL_MS = 50;

  /** How long a caller's connection must be idle before a stopping VM closes it. */
  private static final long STOP_MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /**
   * Half of {@link #TOLERATED_TIMER_GAP_NANOS}. At a longer interval the regular gap counts as late
   * sooner; a shorter one only wakes an idle process more often.
   */
  private static final long LAG_CHECK_INTERVAL_MS = 100;

  /** Time after the start in which lag does not count: classes are still being loaded. */
  private static final long LAG_CHECK_DELAY_MS = 5_000;

  /** Time between two checks that callers do not notice; the longest pause between two events. */
  private static final long TOLERATED_TIMER_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Late time within about two seconds above which new callers are better served elsewhere. */
  private static final long MAX_LATE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final NodeSettings settings;
  private final DesiredStates desiredStates;
  private final DecisionLog log;
  private final FleetUpdateReader updateReader;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final RoutingState routing;
  private final StatementRenewals renewals;
  private final ProxyMetrics metrics = new ProxyMetrics();
  private final ProxyServer proxy;
  private final LoadReports loadReports;
  private final PeerNetwork network;
  private final Subscriptions subscriptions;
  private final LagDetector lag = new LagDetector(TOLERATED_TIMER_GAP_NANOS, MAX_LATE_NANOS);
  private boolean lagging;

  /** Control VM that granted permits last; empty if none has. */
  private String leader = "";

  private volatile boolean stopping;

  /**
   * Creates a node that is not started yet.
   *
   * @param settings addresses, folders and limits of this process
   * @param dialect header names and paths for callers and targets
   * @param engineDialect formats of engine reports
   * @param controlDialect parses the desired state
   * @param log log of decisions
   */
  public EntryNode(
      NodeSettings settings,
      Dialect dialect,
      EngineDialect engineDialect,
      ControlDialect controlDialect,
      DecisionLog log) {
    this.settings = settings;
    this.log = log;
    this.updateReader = new FleetUpdateReader(log);
    RoutingState.Settings routingSettings =
        new RoutingState.Settings(
            settings.dataCentre(),
            settings.leaseNanos(),
            settings.retryRatio(),
            settings.retryAllowance());
    this.routing = new RoutingState(routingSettings, RandomGenerator.getDefault());
    this.renewals = new StatementRenewals(routing.fleet());
    this.desiredStates = new DesiredStates(routing, controlDialect, log);
    StartupWait startupWait = new StartupWait(System.nanoTime());
    this.proxy =
        new ProxyServer(
            loop,
            dialect,
            engineDialect,
            routing,
            startupWait,
            settings.clientLimits(),
            metrics,
            log);
    this.loadReports = new LoadReports(loop, routing, metrics, log);
    loadReports.waiting(routing.admission()::waitingByRank);
    this.network =
        PeerNetwork.byAddress(
            settings.name(),
            null,
            new SharedSecret(settings.peerSecret()),
            new FrameListener(),
            group);
    proxy
        .crashReports()
        .sender(records -> sendToControlVms(CrashCodec.encode(records, System.nanoTime())));
    this.subscriptions =
        new Subscriptions(
            network,
            routing::desiredVersion,
            new Subscriptions.Relaying(
                hostAndPort(settings.relayAddress()),
                settings.dataCentre(),
                () -> !proxy.peers().checks().reachability().cutOff().isEmpty()));
  }

  private static String hostAndPort(@Nullable InetSocketAddress address) {
    return address == null ? "" : address.getHostString() + ":" + address.getPort();
  }

  @Override
  public void start() {
    network.start();
    loop.execute(
        () -> {
          subscriptions.replaceSeeds(settings.seeds());
          subscriptions.start(loop);
        });
    proxy
        .rateLimitReports()
        .start(
            new RateLimitReports.Sender(
                limits -> sendToControlVms(RateLimitCodec.encode(limits, System.nanoTime())),
                this::sendDemand));
    loadReports.start(network::send, this::sendToControlVms);
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("checking the lag", this::checkLag),
        LAG_CHECK_DELAY_MS,
        LAG_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    proxy.listen(
        Objects.requireNonNull(
            settings.proxyAddress(), "an entry VM needs an address for callers"));
    InetSocketAddress relay = settings.relayAddress();
    if (relay != null) {
      proxy.listenForPeers(relay);
    }
    proxy.peers().checks().start(loop, subscriptions::reportReachability);
    InetSocketAddress ready = settings.readyAddress();
    if (ready != null) {
      HttpEndpoint.listen(
          loop, ready, MAX_READINESS_BODY_BYTES, log, READINESS_LIMITS, this::answerStatusRequest);
    }
    log.write("started", "data_centre", settings.dataCentre(), "seeds", settings.seeds());
  }

  @Override
  public void replaceSeeds(List<String> seeds) {
    loop.execute(() -> subscriptions.replaceSeeds(seeds));
  }

  /**
   * Checks whether this VM gets enough processor time. While it does not, it is not ready: the load
   * balancer sends new callers to other VMs, unless half of them are not ready either.
   */
  private void checkLag() {
    lag.tick(System.nanoTime());
    if (lag.isLagging() != lagging) {
      lagging = lag.isLagging();
      log.write(lagging ? "too slow to be ready" : "fast enough to be ready");
    }
  }

  private void answerStatusRequest(FullHttpRequest request, Consumer<FullHttpResponse> reply) {
    if (request.uri().startsWith("/metrics")) {
      reply.accept(HttpEndpoint.text(HTTP_OK, "text/plain", metrics.text()));
      return;
    }
    boolean ready = !stopping && routing.canServe() && !lag.isLagging();
    reply.accept(HttpEndpoint.text(ready ? HTTP_OK : HTTP_UNAVAILABLE, "text/plain", ""));
  }

  @Override
  public void stop() {
    stopping = true;
    long stopStartedAt = System.nanoTime();
    log.write("stopping");
    long detectionMillis = Math.min(READINESS_DETECTION_MS, settings.graceMillis() / 2);
    PlannedStop times =
        new PlannedStop(
            stopStartedAt + TimeUnit.MILLISECONDS.toNanos(detectionMillis),
            stopStartedAt + TimeUnit.MILLISECONDS.toNanos(settings.graceMillis() - STOP_MARGIN_MS));
    loop.execute(() -> proxy.drain(times));
    try {
      TimeUnit.MILLISECONDS.sleep(detectionMillis);
      boolean idle = awaitIdle(times.endsAt());
      if (!idle) {
        loop.execute(
            () -> log.write("requests ended by the stop", "unfinished", proxy.endRequests()));
        idle = awaitIdle(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MS));
      }
      log.write("stopped", "idle", idle);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    loop.execute(proxy::close);
    network.close();
  }

  /** Waits until no caller is connected or the deadline has passed; returns whether none is. */
  private boolean awaitIdle(long deadline) throws InterruptedException {
    while (true) {
      // If few VMs are ready, the load balancer also sends callers to VMs that are not; with the
      // port closed they connect to another VM.
      Future<Boolean> idle =
          loop.submit(() -> proxy.stopAcceptingAndCheckIdle(STOP_MIN_IDLE_NANOS));
      idle.await(Math.max(1, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
      if (idle.isSuccess() && idle.getNow()) {
        return true;
      } else if (System.nanoTime() - deadline >= 0) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_INTERVAL_MS);
    }
  }

  /** Handles frames from control VMs. */
  private final class FrameListener implements PeerListener {
    @Override
    public void received(String vm, Frame frame) {
      if (frame.hasFleet()) {
        applyFleetUpdate(vm, frame.getFleet());
      } else if (frame.hasDesired()) {
        desiredStates.receive(vm, StateCodec.decode(frame.getDesired()));
      } else if (frame.hasPartCrashes()) {
        proxy.crashReports().receive(CrashCodec.decode(frame.getPartCrashes(), System.nanoTime()));
      } else if (frame.hasRateLimits()) {
        proxy
            .rateLimitReports()
            .receive(RateLimitCodec.decode(frame.getRateLimits(), System.nanoTime()));
      } else if (frame.hasPeerVms()) {
        proxy.peers().peers(PeerVmCodec.decode(frame.getPeerVms()));
      } else if (frame.hasLoadSummary()) {
        loadReports.receive(vm, frame.getLoadSummary());
      } else if (frame.hasPermitGrants()) {
        leader = vm;
        proxy.rateLimitReports().receiveGrants(RateLimitCodec.decode(frame.getPermitGrants()));
      }
    }

    @Override
    public void connected(String vm) {
      log.write("control VM connected", "peer", vm);
      subscriptions.requestFullUpdate(vm);
      sendCrashRecords(vm);
      sendRateLimits(vm);
    }

    @Override
    public void joined(String vm, InetSocketAddress address) {
      log.write("VM joined", "peer", vm, "address", address);
    }
  }

  /** Sends all records of crashes, as the control VM may have restarted and know none. */
  private void sendCrashRecords(String vm) {
    List<CrashRecord> records = proxy.crashReports().records();
    if (!records.isEmpty()) {
      network.send(vm, CrashCodec.encode(records, System.nanoTime()));
    }
  }

  /** Sends all limits of targets, as the control VM may have restarted and know none. */
  private void sendRateLimits(String vm) {
    List<RateLimit> limits = proxy.rateLimitReports().records();
    if (!limits.isEmpty()) {
      network.send(vm, RateLimitCodec.encode(limits, System.nanoTime()));
    }
  }

  /** Sends this VM's demand to the control VM that granted permits last, or else to all. */
  private void sendDemand(Map<String, Double> perSecond, List<Permits.Closed> closed) {
    Frame frame = RateLimitCodec.encodeDemand(perSecond, closed);
    boolean leaderKnown =
        !leader.isEmpty()
            && routing.permissions().hasContact(System.nanoTime())
            && network.send(leader, frame);
    if (!leaderKnown) {
      sendToControlVms(frame);
    }
  }

  private void sendToControlVms(Frame frame) {
    network.peers().forEach(vm -> network.send(vm, frame));
  }

  private void applyFleetUpdate(String vm, FleetUpdate update) {
    long now = System.nanoTime();
    if (FleetUpdateReader.hasStatements(update)) {
      routing.fleet().recordContact(now);
    }
    // An engine that a control VM could not reach is avoided for 1.8 s, longer than the time
    // to its next report.
    long suspectUntil = now + TimeUnit.MILLISECONDS.toNanos(1_800);
    updateReader.read(
        update,
        now,
        (statement, receivedAt) -> applyStatement(statement, receivedAt, now),
        report -> routing.recordReport(report, suspectUntil));
    if (!updateReader.readRenewals(update, now, renewals)) {
      subscriptions.requestUnknownStatements(vm, now);
    }
    if (update.getTrafficVms() > 0) {
      routing.trafficVms(update.getTrafficVms());
      routing.sendingVms(update.getSendingVms());
    }
    subscriptions.updateControlVms(update.getControlVmsList());
  }

  private void applyStatement(TargetStatement statement, long receivedAt, long now) {
    if (routing.fleet().recordStatement(statement, receivedAt)) {
      routing.admission().wake();
      log.write(
          "target",
          "target",
          statement.id(),
          "phase",
          statement.phase(),
          "layers",
          String.valueOf(statement.layers()),
          "age_ms",
          TimeUnit.NANOSECONDS.toMillis(now - receivedAt));
    }
  }
}
