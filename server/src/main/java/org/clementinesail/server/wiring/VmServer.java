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
import org.clementinesail.server.control.ReplicaStatus;
import org.clementinesail.server.control.RulesSynchronizer;
import org.clementinesail.server.http.HttpServers;
import org.clementinesail.server.http.Intake;
import org.clementinesail.server.http.RequestMetrics;
import org.clementinesail.server.requests.CrashWatch;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.VmStatusImage;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** One VM of the system: starts its parts in order, and stops them gracefully. */
@Singleton
public final class VmServer {
  /** Version of this program. */
  public static final String VERSION = "0.1.0";

  private static final Timing TIMING =
      new Timing(
          TimeUnit.MILLISECONDS.toNanos(120),
          TimeUnit.MILLISECONDS.toNanos(700),
          TimeUnit.MILLISECONDS.toNanos(1_400),
          10);
  private static final long DRAIN_POLL_MS = 20;

  private final Settings settings;
  private final Switchboard switchboard;
  private final PeerRequests requests;
  private final RulesSynchronizer rules;
  private final TargetRegistry targets;
  private final TargetGossip gossip;
  private final CrashWatch crashes;
  private final Intake intake;
  private final HttpServers http;
  private final RequestMetrics metrics;
  private final ScheduledExecutorService timer;
  private @Nullable ReplicaDriver replica;

  @Inject
  VmServer(
      Settings settings,
      Switchboard switchboard,
      PeerRequests requests,
      RulesSynchronizer rules,
      TargetRegistry targets,
      TargetGossip gossip,
      CrashWatch crashes,
      Intake intake,
      HttpServers http,
      RequestMetrics metrics,
      ScheduledExecutorService timer) {
    this.settings = settings;
    this.switchboard = switchboard;
    this.requests = requests;
    this.rules = rules;
    this.targets = targets;
    this.gossip = gossip;
    this.crashes = crashes;
    this.intake = intake;
    this.http = http;
    this.metrics = metrics;
    this.timer = timer;
  }

  /**
   * Starts all parts.
   *
   * @throws StorageException if the data folder cannot be used
   */
  public void start() throws StorageException {
    replica = openReplica();
    ControlService control = new ControlService(replica, this::status);
    switchboard.start(new Receivers(replica, control, requests, rules, targets, gossip, crashes));
    if (replica != null) {
      replica.start();
    }
    rules.start(timer);
    gossip.start(timer);
    registerGauges();
    http.start();
    Logger.info("VM {} runs version {}", settings.vm(), VERSION);
  }

  /** Takes no new work, waits for work in progress, hands leadership over, and ends all parts. */
  public void stop() {
    Logger.info("VM {} stops", settings.vm());
    intake.drain();
    awaitIdle(settings.deadlines().drain());
    ReplicaDriver local = replica;
    if (local != null) {
      local.transferLeadership();
      pause(DRAIN_POLL_MS * 5);
    }
    gossip.flush();
    http.close();
    timer.shutdownNow();
    if (local != null) {
      local.close();
    }
    switchboard.close();
    Logger.info("VM {} has stopped", settings.vm());
  }

  private void awaitIdle(Duration most) {
    long deadline = System.nanoTime() + most.toNanos();
    while (intake.running() > 0 && System.nanoTime() - deadline < 0) {
      pause(DRAIN_POLL_MS);
    }
    if (intake.running() > 0) {
      Logger.warn("{} requests are cut off by the end of the drain time", intake.running());
    }
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private @Nullable ReplicaDriver openReplica() throws StorageException {
    if (settings.dataFolder() == null) {
      return null;
    }
    ReplicaStore store = openStore(settings);
    ReplicaCore core =
        new ReplicaCore(
            new ReplicaId(settings.vm(), store.diskId()),
            Membership.fixed(settings.replicaVms()),
            store.loadedState(),
            TIMING,
            new SecureRandom(),
            System.nanoTime());
    return new ReplicaDriver(core, store, switchboard::send, switchboard::rulesAccepted);
  }

  private static ReplicaStore openStore(Settings settings) throws StorageException {
    Path folder = settings.dataFolder();
    if (folder == null) {
      throw new IllegalStateException("this VM holds no replica");
    }
    try {
      return ReplicaStore.open(folder);
    } catch (StorageException.Corrupted e) {
      Logger.error("{}; this replica gives up its state and joins as a new one", e.getMessage());
      ReplicaStore.discard(folder);
      return ReplicaStore.open(folder);
    }
  }

  private VmStatusImage status() {
    ReplicaDriver local = replica;
    ReplicaStatus replicaStatus = local == null ? ReplicaStatus.NONE : local.status();
    return VmStatusImage.newBuilder()
        .setVm(settings.vm())
        .setDataCentre(settings.dataCentre())
        .setVersion(VERSION)
        .setRulesNumber(rules.rules().number())
        .setReady(intake.ready())
        .setDraining(intake.draining())
        .setRunning(intake.running())
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
    gauge("requests_running", intake::running);
    gauge("rules_in_force", () -> rules.rules().number());
    gauge("targets_known", () -> targets.facts().size());
    for (Frame.KindCase kind :
        List.of(
            Frame.KindCase.REPLICA,
            Frame.KindCase.REQUEST,
            Frame.KindCase.RESPONSE,
            Frame.KindCase.TARGET_FACTS,
            Frame.KindCase.TARGET_DIGESTS,
            Frame.KindCase.PING)) {
      String name = kind.name().toLowerCase(Locale.ROOT);
      gauge("peer_sent_bytes_" + name, () -> switchboard.traffic().sentBytes(kind));
      gauge("peer_received_bytes_" + name, () -> switchboard.traffic().receivedBytes(kind));
    }
  }

  private void gauge(String name, Gauge<Number> gauge) {
    metrics.registry().register(name, gauge);
  }
}
