package org.clementinesail.server.nodes;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.replication.Membership;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.replication.Timing;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.control.ReplicaDriver;
import org.clementinesail.server.control.ReplicaOpener;
import org.clementinesail.server.control.ReplicaStatus;
import org.clementinesail.server.fleet.ControlApi;
import org.clementinesail.server.fleet.ControlDialect;
import org.clementinesail.server.fleet.CrashRelay;
import org.clementinesail.server.fleet.DocumentCompression;
import org.clementinesail.server.fleet.FleetPublisher;
import org.clementinesail.server.fleet.HttpEndpoint;
import org.clementinesail.server.fleet.LoadCoordinator;
import org.clementinesail.server.fleet.PeerDirectory;
import org.clementinesail.server.fleet.PermitCoordinator;
import org.clementinesail.server.fleet.PlacementLoop;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.Dialect;
import org.clementinesail.server.proxy.EngineDialect;
import org.clementinesail.server.proxy.TargetPool;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.PeerListener;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.ReplicaCodec;
import org.clementinesail.wire.SharedSecret;
import org.clementinesail.wire.proto.Frame;
import org.jspecify.annotations.Nullable;

/**
 * A control VM: runs a replica, accepts targets and operators, and places layers while it is the
 * leader.
 *
 * <pre>{@code
 * ControlNode node = new ControlNode(settings, dialect, engineDialect, controlDialect, log);
 * node.start();
 * }</pre>
 */
public final class ControlNode implements Node {
  /**
   * Heartbeats every 200 ms and elections after 1.0 to 1.8 s without a leader. The times allow for
   * VMs with a fraction of a core, whose disk writes may take 60 ms.
   */
  private static final long HEARTBEAT_MS = 200;

  private static final long MIN_ELECTION_TIMEOUT_MS = 1_000;
  private static final long MAX_ELECTION_TIMEOUT_MS = 1_800;

  /** Largest difference in speed of the clocks of two VMs, in thousandths. */
  private static final int MAX_DRIFT_PER_MILLE = 10;

  /** Largest document that operators send, and room for its headers. */
  private static final int MAX_BODY_BYTES = 8 * 1_024 * 1_024;

  /** How long a stopping VM waits until the others do without it, at most half of its grace. */
  private static final long MAX_LEAVE_MS = 2_000;

  private final NodeSettings settings;
  private final Dialect dialect;
  private final EngineDialect engineDialect;
  private final ControlDialect controlDialect;
  private final DecisionLog log;
  private final String localVm;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final PeerNetwork network;
  private final Subscriptions subscriptions;
  private final FleetPublisher publisher;
  private final CrashRelay crashRelay;
  private final PermitCoordinator permits;
  private final LoadCoordinator loads;
  private final PeerDirectory peerDirectory;
  private @Nullable ReplicaDriver replica;
  private @Nullable DesiredState latestDesiredState;
  private String loggedRole = "";

  /**
   * Creates a node that is not started yet.
   *
   * @param settings addresses, folders and limits of this process
   * @param dialect header names and paths for calls to targets
   * @param engineDialect formats of engine reports and orders
   * @param controlDialect formats of calls from targets and operators
   * @param log log of decisions
   */
  public ControlNode(
      NodeSettings settings,
      Dialect dialect,
      EngineDialect engineDialect,
      ControlDialect controlDialect,
      DecisionLog log) {
    this.settings = settings;
    this.dialect = dialect;
    this.engineDialect = engineDialect;
    this.controlDialect = controlDialect;
    this.log = log;
    InetSocketAddress peerAddress = settings.peerAddress();
    this.localVm = peerAddress.getHostString() + ":" + peerAddress.getPort();
    this.network =
        PeerNetwork.byAddress(
            localVm,
            peerAddress,
            new SharedSecret(settings.peerSecret()),
            new FrameListener(),
            group);
    this.subscriptions = new Subscriptions(network, OptionalLong::empty, null);
    this.peerDirectory = new PeerDirectory(network);
    this.publisher =
        new FleetPublisher(
            loop,
            network,
            new Fleet(settings.leaseNanos()),
            this::controlVms,
            this::isLeader,
            this::knowsLeader,
            peerDirectory::cutOffCount,
            log);
    this.crashRelay = new CrashRelay(loop, network, publisher::trafficVms);
    this.permits =
        new PermitCoordinator(
            loop,
            network,
            publisher.fleet(),
            publisher::trafficVms,
            this::isLeader,
            this::knowsLeader,
            log);
    this.loads = new LoadCoordinator(loop, network, publisher::trafficVms, this::isLeader, log);
  }

  @Override
  public void start() {
    ReplicaDriver driver =
        new ReplicaDriver(this::openReplica, this::send, new AcceptedStateListener());
    replica = driver;
    network.start();
    loop.execute(
        () -> {
          subscriptions.replaceSeeds(settings.seeds());
          subscriptions.start(loop);
        });
    driver.start();
    publisher.start();
    permits.start();
    loads.start();
    TargetPool pool = new TargetPool(loop, dialect, log);
    new PlacementLoop(loop, publisher, this::isLeader, this::desiredState, engineDialect, pool, log)
        .start();
    ControlApi api = new ControlApi(loop, controlDialect, publisher, driver, this::apiAddress, log);
    HttpEndpoint.listen(
        loop,
        Objects.requireNonNull(
            settings.apiAddress(), "a control VM needs an address for targets and operators"),
        MAX_BODY_BYTES,
        log,
        settings.clientLimits(),
        api);
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("updating the role", this::updateRole),
        200,
        200,
        TimeUnit.MILLISECONDS);
    log.write("started", "data_centre", settings.dataCentre(), "seeds", settings.seeds());
  }

  private ReplicaOpener.OpenReplica openReplica() throws StorageException {
    Path folder = Objects.requireNonNull(settings.dataFolder(), "a control VM needs a data folder");
    ReplicaStore store;
    try {
      store = ReplicaStore.open(folder);
    } catch (StorageException.Corrupted e) {
      // Accepted entries may be missing, so this replica must rejoin with a new identity.
      log.write("replica discarded", "reason", e.getMessage());
      ReplicaStore.discard(folder);
      store = ReplicaStore.open(folder);
    }
    List<String> initialVoters =
        settings.formsCluster() && settings.seeds().contains(localVm)
            ? settings.seeds()
            : List.of();
    return ReplicaOpener.OpenReplica.create(
        store,
        open ->
            new ReplicaCore(
                new ReplicaId(localVm, open.diskId()),
                new Membership(initialVoters, settings.seeds(), true),
                open.loadedState(),
                timing(settings.catchUpMillis()),
                new SecureRandom(),
                System.nanoTime()));
  }

  /**
   * Returns the timing of a replica. A lost VM must be noticed and its successor must hold the
   * state and count within the time stated for it, of which either gets a half.
   */
  static Timing timing(long catchUpMillis) {
    Timing timing =
        new Timing(
            TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MS),
            TimeUnit.MILLISECONDS.toNanos(MIN_ELECTION_TIMEOUT_MS),
            TimeUnit.MILLISECONDS.toNanos(MAX_ELECTION_TIMEOUT_MS),
            MAX_DRIFT_PER_MILLE);
    return catchUpMillis == 0
        ? timing
        : timing.withReplacement(TimeUnit.MILLISECONDS.toNanos(catchUpMillis / 2));
  }

  /** Handles state accepted by the replicas; called on the replica's thread. */
  private final class AcceptedStateListener implements ReplicaDriver.StateListener {
    @Override
    public void rulesAccepted(long number) {
      log.write("rule file accepted", "number", number);
    }

    @Override
    public void desiredAccepted(DesiredDocument document) {
      loop.execute(() -> publisher.desired(document));
    }
  }

  /** Parses the newest version on demand; only the leader needs it, for placement. */
  private Optional<DesiredState> desiredState() {
    Optional<DesiredDocument> newest = publisher.desired();
    boolean outdated =
        newest.isPresent()
            && (latestDesiredState == null
                || latestDesiredState.version() < newest.get().version());
    if (outdated) {
      DesiredState.CheckResult checked =
          controlDialect.checkDesired(DocumentCompression.decompress(newest.get()));
      if (checked instanceof DesiredState.Valid valid) {
        latestDesiredState = valid.state();
        publisher.fleet().services(valid.state().serviceNames());
      }
    }
    return Optional.ofNullable(latestDesiredState);
  }

  private void send(ReplicaMessage message) {
    network.send(
        message.to().vm(), Frame.newBuilder().setReplica(ReplicaCodec.encode(message)).build());
  }

  private ReplicaStatus status() {
    ReplicaDriver driver = replica;
    return driver == null ? ReplicaStatus.NONE : driver.status();
  }

  private boolean isLeader() {
    ReplicaStatus status = status();
    return status.role().equals("leader") && status.leaseDeadlineNanos() - System.nanoTime() > 0;
  }

  private boolean knowsLeader() {
    return status().knowsLeader();
  }

  private Set<String> controlVms() {
    Set<String> vms = new HashSet<>(status().voters());
    vms.addAll(status().learners());
    vms.add(localVm);
    return vms;
  }

  /** All control VMs accept targets and operators on the same port. */
  private String apiAddress(String vm) {
    InetSocketAddress own = Objects.requireNonNull(settings.apiAddress());
    return vm.substring(0, vm.lastIndexOf(':') + 1) + own.getPort();
  }

  private void updateRole() {
    ReplicaStatus status = status();
    String role = status.role() + " of " + status.voters();
    if (!role.equals(loggedRole)) {
      loggedRole = role;
      log.write(
          "role",
          "role",
          role,
          "term",
          status.term(),
          "leader",
          status.leaderVm(),
          "commit",
          status.commitIndex());
    }
    subscriptions.updateControlVms(List.copyOf(controlVms()));
  }

  @Override
  public void replaceSeeds(List<String> seeds) {
    ReplicaDriver driver = replica;
    if (driver != null) {
      driver.replaceSeeds(seeds);
    }
    loop.execute(() -> subscriptions.replaceSeeds(seeds));
  }

  @Override
  public void stop() {
    log.write("stopping");
    ReplicaDriver driver = replica;
    if (driver != null) {
      leave(driver);
      driver.close();
    }
    network.close();
    log.write("stopped");
  }

  private void leave(ReplicaDriver driver) {
    long waitMillis = Math.min(MAX_LEAVE_MS, settings.graceMillis() / 2);
    try {
      driver.leave().get(waitMillis, TimeUnit.MILLISECONDS);
      log.write("left", "voters", driver.status().voters());
    } catch (TimeoutException e) {
      log.write("stops without leaving", "leader", driver.status().leaderVm());
    } catch (ExecutionException e) {
      throw new AssertionError("leaving never fails", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Handles frames from other VMs. */
  private final class FrameListener implements PeerListener {
    @Override
    public void received(String vm, Frame frame) {
      ReplicaDriver driver = replica;
      if (frame.hasReplica() && driver != null) {
        driver.receive(ReplicaCodec.decode(frame.getReplica()));
      } else if (frame.hasSubscribe()) {
        publisher.onSubscribe(vm, frame.getSubscribe());
        peerDirectory.onSubscribe(vm, frame.getSubscribe());
        if (frame.getSubscribe().getEverything() && frame.getSubscribe().getCarriesTraffic()) {
          crashRelay.sendAll(vm);
          permits.sendAll(vm);
        }
      } else if (frame.hasPartCrashes()) {
        crashRelay.receive(frame.getPartCrashes());
      } else if (frame.hasRateLimits()) {
        permits.receive(frame.getRateLimits());
      } else if (frame.hasPermitDemand()) {
        permits.receive(vm, frame.getPermitDemand());
      } else if (frame.hasLoadReport()) {
        loads.receive(vm, frame.getLoadReport());
      } else if (frame.hasFleet()) {
        if (!publisher.onFleetUpdate(frame.getFleet())) {
          subscriptions.requestUnknownStatements(vm, System.nanoTime());
        }
        subscriptions.updateControlVms(frame.getFleet().getControlVmsList());
      }
    }

    @Override
    public void connected(String vm) {
      log.write("control VM connected", "peer", vm);
      subscriptions.requestFullUpdate(vm);
    }

    @Override
    public void joined(String vm, InetSocketAddress address) {
      log.write("VM joined", "peer", vm, "address", address);
    }
  }
}
