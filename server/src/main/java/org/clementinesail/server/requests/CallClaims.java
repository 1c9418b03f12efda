package org.clementinesail.server.requests;

import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.state.CallKey;
import org.clementinesail.core.state.CallOutcome;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.server.control.ControlClient;
import org.clementinesail.server.control.ControlException;
import org.tinylog.Logger;

/** Claims calls that may not be repeated, on a majority of synced replicas. */
public final class CallClaims {
  private static final long CLAIM_POLL_INTERVAL_MS = 200;
  private static final long RELEASE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** What became of a claim. */
  public sealed interface Claim {}

  /**
   * The call is claimed by this request, which may run it.
   *
   * @param claimId id of the claim, drawn anew for each request
   */
  public record Granted(String claimId) implements Claim {}

  /**
   * The call has run before.
   *
   * @param outcome how it ended
   */
  public record Ended(CallOutcome outcome) implements Claim {}

  /**
   * The call must not run for this request.
   *
   * @param failure what to tell the caller
   */
  public record Refused(CallFailure failure) implements Claim {}

  private final ControlClient controlClient;
  private final String vm;
  private final long claimTimeoutNanos;
  private final int maxStoredAnswerBytes;
  private final Executor releaseExecutor;

  /**
   * Creates a claimer.
   *
   * @param controlClient has commands accepted
   * @param vm name of this VM
   * @param claimTimeoutNanos how long a claim may take, in nanoseconds
   * @param maxStoredAnswerBytes longest answer that is kept for a resend
   * @param releaseExecutor gives claims back; its tasks may take a minute
   */
  public CallClaims(
      ControlClient controlClient,
      String vm,
      long claimTimeoutNanos,
      int maxStoredAnswerBytes,
      Executor releaseExecutor) {
    this.controlClient = controlClient;
    this.vm = vm;
    this.claimTimeoutNanos = claimTimeoutNanos;
    this.maxStoredAnswerBytes = maxStoredAnswerBytes;
    this.releaseExecutor = releaseExecutor;
  }

  /**
   * Claims a call, or waits for the request that holds the claim.
   *
   * @param call the call, with a key
   * @throws InterruptedException if the thread is interrupted
   */
  public Claim claim(ServiceCall call) throws InterruptedException {
    // The caller's own request id will not do: it may send one id twice at the same time.
    String claimId = UUID.randomUUID().toString();
    while (true) {
      CommandResult result;
      try {
        result = controlClient.execute(claimCommand(call, claimId), claimDeadline(call));
      } catch (ControlException e) {
        releaseAsync(call, claimId);
        return new Refused(noMajorityFailure());
      }
      if (result instanceof CommandResult.ClaimGranted) {
        return new Granted(claimId);
      }
      if (result instanceof CommandResult.ClaimEnded ended) {
        return new Ended(ended.ending());
      }
      if (result instanceof CommandResult.ClaimMismatch) {
        return new Refused(
            CallFailure.notRun(
                422,
                "key_reused",
                "this Idempotency-Key was used with another method, path or body"));
      }
      if (System.nanoTime() - call.deadline() >= 0) {
        return new Refused(
            CallFailure.unknown(
                504, "first_call_running", "the first call with this key has not ended"));
      }
      TimeUnit.MILLISECONDS.sleep(CLAIM_POLL_INTERVAL_MS);
    }
  }

  /**
   * Records how a claimed call ended; gives up after the time for a claim.
   *
   * @param call the call
   * @param claim the claim that was granted
   * @param outcome how it ended
   * @throws InterruptedException if the thread is interrupted
   */
  public void finish(ServiceCall call, Granted claim, CallOutcome outcome)
      throws InterruptedException {
    Command command = new Command.FinishCall(callKey(call), claim.claimId(), limitSize(outcome));
    try {
      controlClient.execute(command, System.nanoTime() + claimTimeoutNanos);
    } catch (ControlException e) {
      Logger.warn(
          "the ending of call {} is not recorded, a resend will hear unknown: {}",
          call.requestId(),
          e.getMessage());
    }
  }

  /** Gives back a claim that may still be accepted although this request has given up. */
  private void releaseAsync(ServiceCall call, String claimId) {
    Command release = new Command.FinishCall(callKey(call), claimId, new CallOutcome.NotRun());
    releaseExecutor.execute(
        () -> {
          try {
            controlClient.execute(release, System.nanoTime() + RELEASE_TIMEOUT_NANOS);
          } catch (ControlException e) {
            Logger.warn("a claim is not given back, resends will hear unknown: {}", e.getMessage());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** This sending did not run, but an earlier one with the same key may have. */
  private static CallFailure noMajorityFailure() {
    return new CallFailure(
        Outcome.UNKNOWN,
        503,
        "no_majority",
        "no majority of replicas can tell whether a call with this key ran before; this sending"
            + " did not run, send it again with the same key",
        1);
  }

  private CallOutcome limitSize(CallOutcome outcome) {
    boolean tooLarge =
        outcome instanceof CallOutcome.Answered answered
            && answered.body().length > maxStoredAnswerBytes;
    return tooLarge ? new CallOutcome.Unknown() : outcome;
  }

  private Command claimCommand(ServiceCall call, String claimId) {
    return new Command.ClaimCall(
        callKey(call), call.digest(), claimId, vm, System.currentTimeMillis());
  }

  private long claimDeadline(ServiceCall call) {
    return Math.min(call.deadline(), System.nanoTime() + claimTimeoutNanos);
  }

  private static CallKey callKey(ServiceCall call) {
    String key = call.idempotencyKey();
    if (key == null) {
      throw new IllegalArgumentException("a call without a key cannot be claimed");
    }
    return new CallKey(call.workspace(), key);
  }
}
