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
  private static final long HELD_POLL_MS = 200;
  private static final long RELEASE_NANOS = TimeUnit.SECONDS.toNanos(60);

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
   * @param ending how it ended
   */
  public record Ended(CallOutcome ending) implements Claim {}

  /**
   * The call must not run for this request.
   *
   * @param failure what to tell the caller
   */
  public record Refused(CallFailure failure) implements Claim {}

  private final ControlClient control;
  private final String vm;
  private final long claimNanos;
  private final int answerKeptBytes;
  private final Executor releases;

  /**
   * Creates a claimer.
   *
   * @param control has commands accepted
   * @param vm name of this VM
   * @param claimNanos how long a claim may take, in nanoseconds
   * @param answerKeptBytes longest answer that is kept for a resend
   * @param releases gives claims back; its tasks may take a minute
   */
  public CallClaims(
      ControlClient control, String vm, long claimNanos, int answerKeptBytes, Executor releases) {
    this.control = control;
    this.vm = vm;
    this.claimNanos = claimNanos;
    this.answerKeptBytes = answerKeptBytes;
    this.releases = releases;
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
        result = control.execute(claimCommand(call, claimId), claimDeadline(call));
      } catch (ControlException e) {
        abandon(call, claimId);
        return new Refused(noMajority());
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
      TimeUnit.MILLISECONDS.sleep(HELD_POLL_MS);
    }
  }

  /**
   * Records how a claimed call ended; gives up after the time for a claim.
   *
   * @param call the call
   * @param claim the claim that was granted
   * @param ending how it ended
   * @throws InterruptedException if the thread is interrupted
   */
  public void finish(ServiceCall call, Granted claim, CallOutcome ending)
      throws InterruptedException {
    Command command = new Command.FinishCall(key(call), claim.claimId(), bounded(ending));
    try {
      control.execute(command, System.nanoTime() + claimNanos);
    } catch (ControlException e) {
      Logger.warn(
          "the ending of call {} is not recorded, a resend will hear unknown: {}",
          call.requestId(),
          e.getMessage());
    }
  }

  /** Gives back a claim that may still be accepted although this request has given up. */
  private void abandon(ServiceCall call, String claimId) {
    Command release = new Command.FinishCall(key(call), claimId, new CallOutcome.NotRun());
    releases.execute(
        () -> {
          try {
            control.execute(release, System.nanoTime() + RELEASE_NANOS);
          } catch (ControlException e) {
            Logger.warn("a claim is not given back, resends will hear unknown: {}", e.getMessage());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** This sending did not run, but an earlier one with the same key may have. */
  private static CallFailure noMajority() {
    return new CallFailure(
        Outcome.UNKNOWN,
        503,
        "no_majority",
        "no majority of replicas can tell whether a call with this key ran before; this sending"
            + " did not run, send it again with the same key",
        1);
  }

  private CallOutcome bounded(CallOutcome ending) {
    boolean large =
        ending instanceof CallOutcome.Answered answered && answered.body().length > answerKeptBytes;
    return large ? new CallOutcome.Unknown() : ending;
  }

  private Command claimCommand(ServiceCall call, String claimId) {
    return new Command.ClaimCall(key(call), call.digest(), claimId, vm, System.currentTimeMillis());
  }

  private long claimDeadline(ServiceCall call) {
    return Math.min(call.deadline(), System.nanoTime() + claimNanos);
  }

  private static CallKey key(ServiceCall call) {
    String key = call.key();
    if (key == null) {
      throw new IllegalArgumentException("a call without a key cannot be claimed");
    }
    return new CallKey(call.workspace(), key);
  }
}
