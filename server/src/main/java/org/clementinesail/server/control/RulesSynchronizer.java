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
import org.clementinesail.wire.PeerReach;
import org.clementinesail.wire.StateCodec;
import org.clementinesail.wire.proto.ReadRules;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;
import org.clementinesail.wire.proto.RulesAnswer;
import org.clementinesail.wire.proto.RulesDeltaImage;
import org.tinylog.Logger;

/** Keeps this VM's rules the latest ones, by asking the replicas again and again. */
public final class RulesSynchronizer {
  private static final long POLL_INTERVAL_MS = 1_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(700);

  /** Tells what is known of the way to a VM. */
  @FunctionalInterface
  public interface ReachabilityLookup {
    /**
     * Returns what is known of the way to a VM.
     *
     * @param vm name of the VM
     */
    PeerReach of(String vm);
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
   * Creates a keeper that knows no rules.
   *
   * @param confirmationTtl how long a majority's word on the rules holds
   * @param requests sends requests
   * @param control knows where the leader is
   * @param replicas VMs that hold replicas
   * @param reachability tells of the ways to VMs
   * @param onNewRules called when newer rules have come into force
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
   * Begins to ask.
   *
   * @param timer runs the questions
   */
  public void start(ScheduledExecutorService timer) {
    var unused =
        timer.scheduleWithFixedDelay(
            new ErrorLoggingTask("asking for the rules", this::poll),
            0,
            POLL_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Returns the rules in force on this VM. */
  public RuleSet rules() {
    return rules;
  }

  /** Returns the text of the rules in force on this VM. */
  public synchronized RulesText text() {
    return inForce.text();
  }

  /** Returns whether new work may be admitted under the rules in force. */
  public synchronized boolean mayAdmit() {
    return inForce.mayAdmit(System.nanoTime());
  }

  /** Returns whether a majority has confirmed the rules of late. */
  public synchronized boolean confirmed() {
    return inForce.confirmed(System.nanoTime());
  }

  /**
   * Takes a hint that a file was accepted.
   *
   * @param number number of the file
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
      // The last question has found no leader yet.
      control.updateLeader("");
      replicas.forEach(this::requestRules);
    }
  }

  private void requestRules(String vm) {
    long sentAt = System.nanoTime();
    long held = rules.number();
    if (reachability.of(vm) == PeerReach.REFUSED) {
      recordWithoutLeader(vm);
    }
    Request.Builder request =
        Request.newBuilder().setReadRules(ReadRules.newBuilder().setNumber(held));
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
        recordWithLeader(vm);
      } else {
        recordWithoutLeader(vm);
      }
      return;
    }
    control.updateLeader(vm);
    recordWithLeader(vm);
    apply(response.getRules(), sentAt);
  }

  private void apply(RulesAnswer answer, long sentAt) {
    boolean newer;
    synchronized (this) {
      Optional<RulesText> latest = applyAnswer(answer, inForce.text());
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

  private static Optional<RulesText> applyAnswer(RulesAnswer answer, RulesText held) {
    if (answer.getFull()) {
      return Optional.of(new RulesText(answer.getNumber(), answer.getText()));
    }
    Optional<RulesText> text = Optional.of(held);
    for (RulesDeltaImage image : answer.getDeltasList()) {
      RulesDelta delta = StateCodec.decode(image);
      text = text.flatMap(delta::applyTo);
    }
    return text.filter(rebuilt -> rebuilt.number() == answer.getNumber());
  }

  private synchronized void recordWithLeader(String vm) {
    inForce.recordReplicaWithLeader(vm);
  }

  private synchronized void recordWithoutLeader(String vm) {
    inForce.recordReplicaWithoutLeader(vm, System.nanoTime());
  }
}
