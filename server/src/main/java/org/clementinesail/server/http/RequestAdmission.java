package org.clementinesail.server.http;

import java.util.function.Supplier;
import org.clementinesail.core.limits.AdmissionControl;
import org.clementinesail.core.rules.RuleSet;
import org.clementinesail.server.requests.CallFailure;
import org.clementinesail.server.requests.Outcome;
import org.jspecify.annotations.Nullable;

/** Decides whether this VM takes a new request: not while it stops, nor under doubtful rules. */
public final class RequestAdmission {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final double NANOS_PER_SECOND = 1e9;

  private final AdmissionControl admissionControl;
  private final Supplier<RuleSet> rules;
  private final Supplier<Boolean> rulesConfirmed;
  private boolean draining;

  /**
   * Creates an intake.
   *
   * @param maxRunning most requests in progress on this VM
   * @param rules the rules in force
   * @param rulesConfirmed whether new work may be admitted under them
   */
  public RequestAdmission(
      int maxRunning, Supplier<RuleSet> rules, Supplier<Boolean> rulesConfirmed) {
    this.admissionControl = new AdmissionControl(maxRunning);
    this.rules = rules;
    this.rulesConfirmed = rulesConfirmed;
  }

  /** Returns whether the balancer should send requests here. */
  public synchronized boolean ready() {
    return !draining && rulesConfirmed.get();
  }

  /** Returns whether this VM is stopping. */
  public synchronized boolean draining() {
    return draining;
  }

  /** Returns the number of requests in progress. */
  public synchronized int running() {
    return admissionControl.running();
  }

  /** Takes no new requests from now on. */
  public synchronized void startDraining() {
    draining = true;
  }

  /**
   * Decides on a request; one that is taken must be released.
   *
   * @param workspace workspace of the request
   * @return why the request is refused, or null if it is taken
   */
  public synchronized @Nullable CallFailure admit(String workspace) {
    if (draining) {
      return CallFailure.notRun(UNAVAILABLE, "stopping", "this VM is stopping; use another one");
    }
    if (!rulesConfirmed.get()) {
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
   * Notes the end of a request.
   *
   * @param workspace workspace of the request
   */
  public synchronized void release(String workspace) {
    admissionControl.release(workspace);
  }
}
