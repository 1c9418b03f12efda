package org.clementinesail.server.wiring;

import com.codahale.metrics.Gauge;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.clementinesail.core.replication.Membership;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Timing;
import org.clementinesail.server.control.ControlService;
import org.clementinesail.server.control.PeerRequests;
import org.clementinesail.server.control.ReplicaDriver;
import org.clementinesail.server.control.ReplicaOpener;
import org.clementinesail.server.control.ReplicaStatus;
import org.clementinesail.server.control.RulesSynchronizer;
import org.clementinesail.server.http.HttpServers;
import org.clementinesail.server.http.RequestAdmission;
import org.clementinesail.server.http.RequestMetrics;
import org.clementinesail.server.requests.CrashTracker;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.VmStatusImage;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** The server of one VM. Starts its components in order and stops them gracefully. */
@Singleton
public final class VmServer {
  /** Version that the command line, the logs and the status show. */
  public static final String VERSION = "0.1.0";

  /**
   * Heartbeat interval of 120 ms, election timeout of 700 to 1,400 ms, and clock speeds of two VMs
   * that differ by at most 10 per mille.
   */
  private static final Timing REPLICA_TIMING =
      new Timing(
          TimeUnit.MILLISECONDS.toNanos(120),
          TimeUnit.MILLISECONDS.toNanos(700),
          TimeUnit.MILLISECONDS.toNanos(1_400),
          10);

  private static final long DRAIN_POLL_INTERVAL_MS = 20;

  private final Settings settings;
  private final FrameRouter frameRouter;
  private final PeerRequests requests;
  private final RulesSynchronizer rules;
  private final TargetRegistry targets;
  private final TargetGossip gossip;
  private final CrashTracker crashes;
  private final RequestAdmission admission;
  private final HttpServers http;
  private final RequestMetrics metrics;
  private final ScheduledExecutorService timer;
  private @Nullable ReplicaDriver replica;

  @Inject
  VmServer(
      Settings settings,
      FrameRouter frameRouter,
      PeerRequests requests,
      RulesSynchronizer rules,
      TargetRegistry targets,
      TargetGossip gossip,
      CrashTracker crashes,
      RequestAdmission admission,
      HttpServers http,
      RequestMetrics metrics,
      ScheduledExecutorService timer) {
    this.settings = settings;
    this.frameRouter = frameRouter;
    this.requests = requests;
    this.rules = rules;
    this.targets = targets;
    this.gossip = gossip;
    this.crashes = crashes;
    this.admission = admission;
    this.http = http;
    this.metrics = metrics;
    this.timer = timer;
  }

  /**
   * Starts all components; the HTTP servers come last. A replica whose data folder cannot be opened
   * is opened later.
   */
  public void start() {
    if (settings.dataFolder() != null) {
      replica =
          new ReplicaDriver(this::openReplica, frameRouter::send, frameRouter::onRulesAccepted);
    }
    ControlService control = new ControlService(replica, this::status);
    frameRouter.start(
        new FrameReceivers(replica, control, requests, rules, targets, gossip, crashes));
    if (replica != null) {
      replica.start();
    }
    rules.start(timer);
    gossip.start(timer);
    registerGauges();
    http.start();
    Logger.info("VM {} started, version {}", settings.vm(), VERSION);
  }

  /**
   * Refuses new requests, waits for running requests up to the drain deadline, transfers leadership
   * to another replica, and stops all components.
   */
  public void stop() {
    Logger.info("VM {} is stopping", settings.vm());
    admission.startDraining();
    awaitIdle(settings.deadlines().drain());
    ReplicaDriver localReplica = replica;
    if (localReplica != null) {
      localReplica.transferLeadership();
      // Gives the transfer 100 ms to complete before the connections close.
      sleep(DRAIN_POLL_INTERVAL_MS * 5);
    }
    gossip.flush();
    http.close();
    timer.shutdownNow();
    if (localReplica != null) {
      localReplica.close();
    }
    frameRouter.close();
    Logger.info("VM {} stopped", settings.vm());
  }

  private void awaitIdle(Duration timeout) {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (admission.running() > 0 && System.nanoTime() - deadline < 0) {
      sleep(DRAIN_POLL_INTERVAL_MS);
    }
    if (admission.running() > 0) {
      Logger.warn(
          "drain deadline passed; stopping with {} requests still running", admission.running());
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ReplicaOpener.OpenReplica openReplica() throws StorageException {
    ReplicaStore store = openStore(settings);
    return ReplicaOpener.OpenReplica.create(
        store,
        open ->
            new ReplicaCore(
                new ReplicaId(settings.vm(), open.diskId()),
                Membership.fixed(settings.replicaVms()),
                open.loadedState(),
                REPLICA_TIMING,
                new SecureRandom(),
                System.nanoTime()));
  }

  private static ReplicaStore openStore(Settings settings) throws StorageException {
    Path folder = settings.dataFolder();
    if (folder == null) {
      throw new IllegalStateException("this VM holds no replica");
    }
    try {
      return ReplicaStore.open(folder);
    } catch (StorageException.Corrupted e) {
      Logger.error(
          "{}; discarding the state of this replica and joining as a new replica", e.getMessage());
      ReplicaStore.discard(folder);
      return ReplicaStore.open(folder);
    }
  }

  private VmStatusImage status() {
    ReplicaDriver localReplica = replica;
    ReplicaStatus replicaStatus = localReplica == null ? ReplicaStatus.NONE : localReplica.status();
    return VmStatusImage.newBuilder()
        .setVm(settings.vm())
        .setDataCentre(settings.dataCentre())
        .setVersion(VERSION)
        .setRulesNumber(rules.rules().number())
        .setReady(admission.ready())
        .setDraining(admission.draining())
        .setRunning(admission.running())
        .setReplicaRole(replicaStatus.role())
        .setTerm(replicaStatus.term())
        .setLeader(replicaStatus.leaderVm())
        .setCommit(replicaStatus.commitIndex())
        .setLastIndex(replicaStatus.lastIndex())
        .addAllVoters(replicaStatus.voters())
        .addAllLearners(replicaStatus.learners())
        .build();
  }

  private void registerGauges() {
    registerGauge("requests_running", admission::running);
    registerGauge("rules_in_force", () -> rules.rules().number());
    registerGauge("targets_known", () -> targets.records().size());
    for (Frame.KindCase kind :
        List.of(
            Frame.KindCase.REPLICA,
            Frame.KindCase.REQUEST,
            Frame.KindCase.RESPONSE,
            Frame.KindCase.TARGET_FACTS,
            Frame.KindCase.TARGET_DIGESTS,
            Frame.KindCase.PING)) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      registerGauge("peer_sent_bytes_" + name, () -> frameRouter.traffic().sentBytes(kind));
      registerGauge("peer_received_bytes_" + name, () -> frameRouter.traffic().receivedBytes(kind));
    }
  }

  private void registerGauge(String name, Gauge<Number> gauge) {
    metrics.registry().register(name, gauge);
  }
}
