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
public final class RulesKeeper {
  private static final long POLL_MS = 1_000;
  private static final Duration ASK_TIMEOUT = Duration.ofMillis(700);

  /** Tells what is known of the way to a VM. */
  @FunctionalInterface
  public interface Reach {
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
  private final Reach reach;
  private final Runnable changed;
  private final AtomicBoolean asking = new AtomicBoolean();
  private volatile RuleSet rules = RuleSet.EMPTY;

  /**
   * Creates a keeper that knows no rules.
   *
   * @param confirm how long a majority's word on the rules holds
   * @param requests sends requests
   * @param control knows where the leader is
   * @param replicas VMs that hold replicas
   * @param reach tells of the ways to VMs
   * @param changed called when newer rules have come into force
   */
  public RulesKeeper(
      Duration confirm,
      PeerRequests requests,
      ControlClient control,
      List<String> replicas,
      Reach reach,
      Runnable changed) {
    this.inForce = new RulesInForce(confirm.toNanos(), replicas.size());
    this.requests = requests;
    this.control = control;
    this.replicas = List.copyOf(replicas);
    this.reach = reach;
    this.changed = changed;
  }

  /**
   * Begins to ask.
   *
   * @param timer runs the questions
   */
  public void start(ScheduledExecutorService timer) {
    var unused =
        timer.scheduleWithFixedDelay(
            new GuardedTask("asking for the rules", this::poll), 0, POLL_MS, TimeUnit.MILLISECONDS);
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
  public void hinted(long number) {
    if (number > rules.number()) {
      ask(control.preferredReplica());
    }
  }

  private void poll() {
    if (asking.compareAndSet(false, true)) {
      ask(control.preferredReplica());
    } else {
      // The last question has found no leader yet.
      control.leaderAt("");
      replicas.forEach(this::ask);
    }
  }

  private void ask(String vm) {
    long askedAt = System.nanoTime();
    long held = rules.number();
    if (reach.of(vm) == PeerReach.REFUSED) {
      withoutLeader(vm);
    }
    Request.Builder request =
        Request.newBuilder().setReadRules(ReadRules.newBuilder().setNumber(held));
    var unused =
        requests
            .send(vm, request, ASK_TIMEOUT)
            .thenAccept(response -> answered(vm, response, askedAt))
            .exceptionally(failure -> null);
  }

  private void answered(String vm, Response response, long askedAt) {
    if (response.hasNotLeader()) {
      boolean known = response.getNotLeader().getLeaderKnown();
      if (known) {
        control.leaderAt(response.getNotLeader().getLeaderVm());
        withLeader(vm);
      } else {
        withoutLeader(vm);
      }
      return;
    }
    control.leaderAt(vm);
    withLeader(vm);
    apply(response.getRules(), askedAt);
  }

  private void apply(RulesAnswer answer, long askedAt) {
    boolean newer;
    synchronized (this) {
      Optional<RulesText> latest = rebuild(answer, inForce.text());
      if (latest.isEmpty()) {
        return;
      }
      newer = inForce.confirm(latest.get(), askedAt);
      rules = inForce.rules();
    }
    asking.set(false);
    if (newer) {
      Logger.info("rule file {} is in force", rules.number());
      changed.run();
    }
  }

  private static Optional<RulesText> rebuild(RulesAnswer answer, RulesText held) {
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

  private synchronized void withLeader(String vm) {
    inForce.recordReplicaWithLeader(vm);
  }

  private synchronized void withoutLeader(String vm) {
    inForce.recordReplicaWithoutLeader(vm, System.nanoTime());
  }
}
