package org.clementinesail.server.http;

import java.util.function.Supplier;
import org.clementinesail.core.limits.AdmissionControl;
import org.clementinesail.core.rules.RuleSet;
import org.clementinesail.server.requests.CallFailure;
import org.clementinesail.server.requests.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * Admits new requests up to the limits, and none while this VM drains or its rules may be outdated.
 */
public final class RequestAdmission {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final double NANOS_PER_SECOND = 1e9;

  private final AdmissionControl admissionControl;
  private final Supplier<RuleSet> rules;
  private final Supplier<Boolean> mayAdmit;
  private boolean draining;

  /**
   * Creates an admission check without running requests.
   *
   * @param maxRunning largest number of requests in progress on this VM
   * @param rules supplies the rules in force
   * @param mayAdmit returns true if the rules are confirmed as the latest, or if no newer file can
   *     be accepted because most replicas have no leader
   */
  public RequestAdmission(int maxRunning, Supplier<RuleSet> rules, Supplier<Boolean> mayAdmit) {
    this.admissionControl = new AdmissionControl(maxRunning);
    this.rules = rules;
    this.mayAdmit = mayAdmit;
  }

  /** Returns whether this VM admits requests, so that the load balancer should send them here. */
  public synchronized boolean ready() {
    return !draining && mayAdmit.get();
  }

  /** Returns whether {@link #startDraining} was called because this VM is stopping. */
  public synchronized boolean draining() {
    return draining;
  }

  /** Returns the number of requests admitted and not yet released. */
  public synchronized int running() {
    return admissionControl.running();
  }

  /** Refuses all new requests from now on; running requests go on. */
  public synchronized void startDraining() {
    draining = true;
  }

  /**
   * Admits or refuses a request. Each admitted request must be {@link #release released}.
   *
   * @param workspace workspace of the request
   * @return the reason of the refusal, or null if the request is admitted
   */
  public synchronized @Nullable CallFailure admit(String workspace) {
    if (draining) {
      return CallFailure.notRun(UNAVAILABLE, "stopping", "this VM is stopping; use another one");
    }
    if (!mayAdmit.get()) {
      return CallFailure.notRun(
          UNAVAILABLE,
          "rules_not_confirmed",
          "this VM cannot confirm that its rules are the latest; use another one");
    }
    AdmissionControl.Decision decision =
        admissionControl.admit(rules.get(), workspace, System.nanoTime());
    if (decision instanceof AdmissionControl.Refused refused) {
      long seconds = (long) Math.ceil(refused.retryAfterNanos() / NANOS_PER_SECOND);
      return new CallFailure(
          Outcome.NOT_RUN,
          TOO_MANY_REQUESTS,
          "limit_reached",
          refused.reason(),
          Math.max(1, seconds));
    }
    return null;
  }

  /**
   * Releases an admitted request after its end.
   *
   * @param workspace the workspace that the request was admitted for
   */
  public synchronized void release(String workspace) {
    admissionControl.release(workspace);
  }
}
