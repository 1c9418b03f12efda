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

/** Claims calls that must run at most once; a majority of replicas stores each claim on disk. */
public final class CallClaims {
  private static final long CLAIM_POLL_INTERVAL_MS = 200;
  private static final long RELEASE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Result of a claim. */
  public sealed interface Claim {}

  /**
   * This request holds the claim and may run the call.
   *
   * @param claimId random id of the claim, different for each request
   */
  public record Granted(String claimId) implements Claim {}

  /**
   * An earlier request with the same key has ended.
   *
   * @param ending recorded outcome of that request
   */
  public record Ended(CallOutcome ending) implements Claim {}

  /**
   * This request must not run the call.
   *
   * @param failure error to return to the caller
   */
  public record Refused(CallFailure failure) implements Claim {}

  private final ControlClient controlClient;
  private final String vm;
  private final long claimTimeoutNanos;
  private final int maxStoredAnswerBytes;
  private final Executor releaseExecutor;

  /**
   * Creates an instance that sends its commands through a control client.
   *
   * @param controlClient sends commands to the replicas
   * @param vm name of this VM, stored in each claim
   * @param claimTimeoutNanos timeout of one claim or finish command, in nanoseconds
   * @param maxStoredAnswerBytes largest response body, in bytes, that is stored for replay; the
   *     outcome of a call with a larger one is stored as unknown
   * @param releaseExecutor runs tasks that release claims; a task may take 60 seconds
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
   * Claims a call. While another request holds the claim, polls until that request ends or the
   * deadline of this call has passed.
   *
   * @param call call with an idempotency key
   * @throws InterruptedException if the thread is interrupted
   */
  public Claim claim(ServiceCall call) throws InterruptedException {
    // The caller's request id is not unique: it may send one id twice at the same time.
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
                "this Idempotency-Key was already used with a different method, path or body"));
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
   * Records the outcome of a claimed call. Only logs a warning if the command is not accepted
   * within the claim timeout; later requests with the same key then get an unknown outcome.
   *
   * @param call call with an idempotency key
   * @param claim granted claim of this call
   * @param outcome outcome to record
   * @throws InterruptedException if the thread is interrupted
   */
  public void finish(ServiceCall call, Granted claim, CallOutcome outcome)
      throws InterruptedException {
    Command command = new Command.FinishCall(callKey(call), claim.claimId(), limitSize(outcome));
    try {
      controlClient.execute(command, System.nanoTime() + claimTimeoutNanos);
    } catch (ControlException e) {
      Logger.warn(
          "outcome of call {} was not recorded; retries with its key will get an unknown outcome:"
              + " {}",
          call.requestId(),
          e.getMessage());
    }
  }

  /** Releases a claim that may still be accepted after this request has stopped waiting for it. */
  private void releaseAsync(ServiceCall call, String claimId) {
    Command release = new Command.FinishCall(callKey(call), claimId, new CallOutcome.NotRun());
    releaseExecutor.execute(
        () -> {
          try {
            controlClient.execute(release, System.nanoTime() + RELEASE_TIMEOUT_NANOS);
          } catch (ControlException e) {
            Logger.warn(
                "claim was not released; retries with its key will get an unknown outcome: {}",
                e.getMessage());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** The outcome is unknown: this request did not run, but an earlier one with the key may have. */
  private static CallFailure noMajorityFailure() {
    return new CallFailure(
        Outcome.UNKNOWN,
        503,
        "no_majority",
        "no majority of replicas can confirm whether an earlier call with this key ran; this call"
            + " did not run, retry with the same key",
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
      throw new IllegalArgumentException("only a call with an idempotency key can be claimed");
    }
    return new CallKey(call.workspace(), key);
  }
}
