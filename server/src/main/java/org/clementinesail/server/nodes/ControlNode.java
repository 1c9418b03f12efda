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
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.replication.Membership;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.replication.Timing;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.server.control.ReplicaDriver;
import org.clementinesail.server.control.ReplicaStatus;
import org.clementinesail.server.fleet.ControlApi;
import org.clementinesail.server.fleet.ControlDialect;
import org.clementinesail.server.fleet.DocumentCompression;
import org.clementinesail.server.fleet.FleetPublisher;
import org.clementinesail.server.fleet.HttpEndpoint;
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
 * A control VM: holds a replica, hears targets and operators, and places layers while it leads.
 *
 * <pre>{@code
 * ControlNode node = new ControlNode(settings, dialect, engineDialect, controlDialect, log);
 * node.start();
 * }</pre>
 */
public final class ControlNode implements Node {
  /** Heartbeats and elections for VMs with a fraction of a core, whose disks may take 60 ms. */
  private static final Timing TIMING =
      new Timing(
          TimeUnit.MILLISECONDS.toNanos(200),
          TimeUnit.MILLISECONDS.toNanos(1_000),
          TimeUnit.MILLISECONDS.toNanos(1_800),
          10);

  /** Longest document that operators send, with room for its head. */
  private static final int MAX_DOCUMENT_BYTES = 8 * 1_024 * 1_024;

  /** Time for a successor to be elected before a stopping leader leaves. */
  private static final long HAND_OVER_MS = 700;

  private final NodeSettings settings;
  private final Dialect dialect;
  private final EngineDialect engines;
  private final ControlDialect controlDialect;
  private final DecisionLog log;
  private final String self;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final PeerNetwork network;
  private final Subscriptions subscriptions;
  private final FleetPublisher hub;
  private @Nullable ReplicaDriver replica;
  private @Nullable DesiredState desired;
  private String lastRole = "";

  /**
   * Creates a node that does not run yet.
   *
   * @param settings what the process is told
   * @param dialect names of targets
   * @param engines formats of engines' reports and orders
   * @param controlDialect formats of targets' and operators' calls
   * @param log lines for decisions
   */
  public ControlNode(
      NodeSettings settings,
      Dialect dialect,
      EngineDialect engines,
      ControlDialect controlDialect,
      DecisionLog log) {
    this.settings = settings;
    this.dialect = dialect;
    this.engines = engines;
    this.controlDialect = controlDialect;
    this.log = log;
    InetSocketAddress peers = settings.peerAddress();
    this.self = peers.getHostString() + ":" + peers.getPort();
    this.network =
        PeerNetwork.byAddress(
            self, peers, new SharedSecret(settings.peerSecret()), new Frames(), group);
    this.subscriptions = new Subscriptions(network, false, () -> 0L);
    this.hub =
        new FleetPublisher(
            loop,
            network,
            new Fleet(settings.leaseNanos()),
            this::controlVms,
            this::leads,
            () -> status().knowsLeader(),
            log);
  }

  @Override
  public void start() throws StorageException {
    ReplicaDriver driver = openReplica();
    replica = driver;
    network.start();
    loop.execute(
        () -> {
          subscriptions.seeds(settings.seeds());
          subscriptions.start(loop);
        });
    driver.start();
    hub.start();
    TargetPool pool = new TargetPool(loop, dialect);
    new PlacementLoop(loop, hub, this::leads, this::desiredState, engines, pool, log).start();
    ControlApi api = new ControlApi(loop, controlDialect, hub, driver, this::apiOf, log);
    HttpEndpoint.listen(
        loop,
        Objects.requireNonNull(settings.apiAddress(), "a control VM needs an address"),
        MAX_DOCUMENT_BYTES,
        api);
    loop.scheduleWithFixedDelay(this::noteRole, 200, 200, TimeUnit.MILLISECONDS);
    log.write("started", "data_centre", settings.dataCentre(), "seeds", settings.seeds());
  }

  private ReplicaDriver openReplica() throws StorageException {
    Path folder = Objects.requireNonNull(settings.dataFolder(), "a control VM needs a data folder");
    ReplicaStore store;
    try {
      store = ReplicaStore.open(folder);
    } catch (StorageException.Corrupted e) {
      // Accepted state may be missing here, so this replica comes back as a new one.
      log.write("replica discarded", "reason", e.getMessage());
      ReplicaStore.discard(folder);
      store = ReplicaStore.open(folder);
    }
    List<String> founders =
        settings.formsCluster() && settings.seeds().contains(self) ? settings.seeds() : List.of();
    ReplicaCore core =
        new ReplicaCore(
            new ReplicaId(self, store.diskId()),
            new Membership(founders, settings.seeds(), true),
            store.loadedState(),
            TIMING,
            new SecureRandom(),
            System.nanoTime());
    return new ReplicaDriver(core, store, this::send, new Accepted());
  }

  /** Takes what the replicas have accepted, on the replica's thread. */
  private final class Accepted implements ReplicaDriver.StateListener {
    @Override
    public void rulesAccepted(long number) {
      log.write("rule file accepted", "number", number);
    }

    @Override
    public void desiredAccepted(DesiredDocument document) {
      loop.execute(() -> inForce(document));
    }
  }

  private void inForce(DesiredDocument document) {
    if (document.version() == 0) {
      return;
    }
    hub.desired(document);
  }

  /** Reads the newest version when placement needs it, which is on the leading VM only. */
  private Optional<DesiredState> desiredState() {
    DesiredDocument newest = hub.desired();
    boolean old = desired == null || desired.version() < newest.version();
    if (newest.version() > 0 && old) {
      DesiredState.CheckResult checked =
          controlDialect.checkDesired(DocumentCompression.decompress(newest));
      if (checked instanceof DesiredState.Valid valid) {
        desired = valid.state();
      }
    }
    return Optional.ofNullable(desired);
  }

  private void send(ReplicaMessage message) {
    network.send(
        message.to().vm(), Frame.newBuilder().setReplica(ReplicaCodec.encode(message)).build());
  }

  private ReplicaStatus status() {
    ReplicaDriver driver = replica;
    return driver == null ? ReplicaStatus.NONE : driver.status();
  }

  private boolean leads() {
    ReplicaStatus status = status();
    return status.role().equals("leader") && status.leaseDeadlineNanos() - System.nanoTime() > 0;
  }

  private Set<String> controlVms() {
    Set<String> vms = new HashSet<>(status().voters());
    vms.addAll(status().learners());
    vms.add(self);
    return vms;
  }

  /** Control VMs accept targets and operators at the same port everywhere. */
  private String apiOf(String vm) {
    InetSocketAddress own = Objects.requireNonNull(settings.apiAddress());
    return vm.substring(0, vm.lastIndexOf(':') + 1) + own.getPort();
  }

  private void noteRole() {
    ReplicaStatus status = status();
    String role = status.role() + " of " + status.voters();
    if (!role.equals(lastRole)) {
      lastRole = role;
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
    subscriptions.controlVms(List.copyOf(controlVms()));
  }

  @Override
  public void seeds(List<String> seeds) {
    ReplicaDriver driver = replica;
    if (driver != null) {
      driver.replaceSeeds(seeds);
    }
    loop.execute(() -> subscriptions.seeds(seeds));
  }

  @Override
  public void stop() {
    log.write("stopping");
    ReplicaDriver driver = replica;
    try {
      if (driver != null && leads()) {
        driver.transferLeadership();
        TimeUnit.MILLISECONDS.sleep(HAND_OVER_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (driver != null) {
      driver.close();
    }
    network.close();
    log.write("stopped");
  }

  /** Takes frames from other VMs. */
  private final class Frames implements PeerListener {
    @Override
    public void received(String vm, Frame frame) {
      ReplicaDriver driver = replica;
      if (frame.hasReplica() && driver != null) {
        driver.receive(ReplicaCodec.decode(frame.getReplica()));
      } else if (frame.hasSubscribe()) {
        hub.onSubscribe(vm, frame.getSubscribe());
      } else if (frame.hasFleet()) {
        hub.onFleetUpdate(frame.getFleet());
        subscriptions.controlVms(frame.getFleet().getControlVmsList());
      }
    }

    @Override
    public void connected(String vm) {
      log.write("control VM connected", "peer", vm);
      subscriptions.connected(vm);
    }

    @Override
    public void joined(String vm, InetSocketAddress address) {
      log.write("VM joined", "peer", vm, "address", address);
    }
  }
}
