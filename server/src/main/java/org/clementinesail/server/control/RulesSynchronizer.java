package org.clementinesail.server.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinesail.core.rules.RuleSet;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesInForce;
import org.clementinesail.core.rules.RulesText;
import org.clementinesail.wire.PeerReachability;
import org.clementinesail.wire.StateCodec;
import org.clementinesail.wire.proto.ReadRules;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;
import org.clementinesail.wire.proto.RulesAnswer;
import org.clementinesail.wire.proto.RulesDeltaImage;
import org.tinylog.Logger;

/** Keeps the rules on this VM up to date by polling the replicas. */
public final class RulesSynchronizer {
  private static final long POLL_INTERVAL_MS = 1_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(700);

  /** Looks up whether a VM can be reached. */
  @FunctionalInterface
  public interface ReachabilityLookup {
    /**
     * Returns whether a VM can be reached.
     *
     * @param vm name of the VM, which may be this one
     */
    PeerReachability of(String vm);
  }

  private final RulesInForce inForce;
  private final PeerRequests requests;
  private final ControlClient control;
  private final List<String> replicas;
  private final ReachabilityLookup reachability;
  private final Runnable onNewRules;
  private final AtomicBoolean pollPending = new AtomicBoolean();
  private volatile RuleSet rules = RuleSet.EMPTY;

  /**
   * Creates a synchronizer with an empty rule set.
   *
   * @param confirmationTtl how long an answer that a majority confirmed is valid, counted from the
   *     sending of its request
   * @param requests client for requests to VMs
   * @param control holds the last known leader, which the answers update
   * @param replicas names of the VMs that hold replicas
   * @param reachability looks up whether VMs can be reached
   * @param onNewRules called after a newer rule file has come into force
   */
  public RulesSynchronizer(
      Duration confirmationTtl,
      PeerRequests requests,
      ControlClient control,
      List<String> replicas,
      ReachabilityLookup reachability,
      Runnable onNewRules) {
    this.inForce = new RulesInForce(confirmationTtl.toNanos(), replicas.size());
    this.requests = requests;
    this.control = control;
    this.replicas = List.copyOf(replicas);
    this.reachability = reachability;
    this.onNewRules = onNewRules;
  }

  /**
   * Starts to poll the replicas every second.
   *
   * @param timer runs the polls
   */
  public void start(ScheduledExecutorService timer) {
    var unused =
        timer.scheduleWithFixedDelay(
            new ErrorLoggingTask("polling the replicas for the rules", this::poll),
            0,
            POLL_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Returns the parsed rules in force on this VM; empty before the first answer. */
  public RuleSet rules() {
    return rules;
  }

  /** Returns the number and text of the rule file in force on this VM. */
  public synchronized RulesText text() {
    return inForce.text();
  }

  /**
   * Returns whether new work may be admitted: the rules are confirmed, or no newer file can be
   * accepted because most replicas have no leader.
   */
  public synchronized boolean mayAdmit() {
    return inForce.mayAdmit(System.nanoTime());
  }

  /** Returns whether the last confirmation by a majority is still valid. */
  public synchronized boolean confirmed() {
    return inForce.confirmed(System.nanoTime());
  }

  /**
   * Requests the rules if a hint names a newer rule file than the one in force.
   *
   * @param number number of the accepted rule file
   */
  public void onRulesHint(long number) {
    if (number > rules.number()) {
      requestRules(control.preferredReplica());
    }
  }

  private void poll() {
    if (pollPending.compareAndSet(false, true)) {
      requestRules(control.preferredReplica());
    } else {
      // The last poll brought no rules; its replica may be down or may not know the leader.
      control.updateLeader("");
      replicas.forEach(this::requestRules);
    }
  }

  private void requestRules(String vm) {
    long sentAt = System.nanoTime();
    long heldNumber = rules.number();
    if (reachability.of(vm) == PeerReachability.REFUSED) {
      recordReplicaWithoutLeader(vm);
    }
    Request.Builder request =
        Request.newBuilder().setReadRules(ReadRules.newBuilder().setNumber(heldNumber));
    var unused =
        requests
            .send(vm, request, REQUEST_TIMEOUT)
            .thenAccept(response -> handleResponse(vm, response, sentAt))
            .exceptionally(failure -> null);
  }

  private void handleResponse(String vm, Response response, long sentAt) {
    if (response.hasNotLeader()) {
      boolean known = response.getNotLeader().getLeaderKnown();
      if (known) {
        control.updateLeader(response.getNotLeader().getLeaderVm());
        recordReplicaWithLeader(vm);
      } else {
        recordReplicaWithoutLeader(vm);
      }
      return;
    }
    control.updateLeader(vm);
    recordReplicaWithLeader(vm);
    applyRules(response.getRules(), sentAt);
  }

  private void applyRules(RulesAnswer answer, long sentAt) {
    boolean newer;
    synchronized (this) {
      Optional<RulesText> latest = updatedText(answer, inForce.text());
      if (latest.isEmpty()) {
        return;
      }
      newer = inForce.confirm(latest.get(), sentAt);
      rules = inForce.rules();
    }
    pollPending.set(false);
    if (newer) {
      Logger.info("rule file {} is in force", rules.number());
      onNewRules.run();
    }
  }

  private static Optional<RulesText> updatedText(RulesAnswer answer, RulesText current) {
    if (answer.getFull()) {
      return Optional.of(new RulesText(answer.getNumber(), answer.getText()));
    }
    Optional<RulesText> text = Optional.of(current);
    for (RulesDeltaImage image : answer.getDeltasList()) {
      RulesDelta delta = StateCodec.decode(image);
      text = text.flatMap(delta::applyTo);
    }
    return text.filter(updated -> updated.number() == answer.getNumber());
  }

  private synchronized void recordReplicaWithLeader(String vm) {
    inForce.recordReplicaWithLeader(vm);
  }

  private synchronized void recordReplicaWithoutLeader(String vm) {
    inForce.recordReplicaWithoutLeader(vm, System.nanoTime());
  }
}
