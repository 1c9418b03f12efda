package org.clementinesail.core.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.jspecify.annotations.Nullable;

/**
 * The replicated state machine; equal commands in equal order give equal states on each replica.
 *
 * <pre>{@code
 * SystemState state = SystemState.empty();
 * CommandResult result = state.apply(new Command.ClaimCall(...));
 * }</pre>
 */
public final class SystemState {
  /** How long a claim and its answer are kept after the claim, in milliseconds. */
  public static final long CLAIM_RETENTION_MILLIS = 24L * 60 * 60 * 1_000;

  /** How many accepted numbers are remembered so that a resend hears its first verdict. */
  public static final int ACCEPTED_NUMBERS_KEPT = 100_000;

  private static final int RECENT_DELTAS_KEPT = 64;

  /**
   * An accepted file, without its text.
   *
   * @param number number of the file
   * @param digest SHA-256 of its text
   * @param operator who submitted it
   */
  public record AcceptedFile(long number, String digest, String operator) {}

  /**
   * A claim on a call.
   *
   * @param key the call
   * @param bodyDigest digest of method, path and body
   * @param requestId request that holds the claim
   * @param runner VM that runs the call
   * @param claimedAtMillis wall-clock time of the claim
   * @param ending how the call ended, or null while it runs
   */
  public record Claim(
      CallKey key,
      String bodyDigest,
      String requestId,
      String runner,
      long claimedAtMillis,
      @Nullable CallEnding ending) {}

  /**
   * Everything a snapshot holds.
   *
   * @param latest latest accepted file
   * @param accepted accepted files, oldest first
   * @param claims claims, oldest first
   * @param clockMillis highest wall-clock time seen in a command
   * @param desired newest version of the desired state
   */
  public record Image(
      RulesText latest,
      List<AcceptedFile> accepted,
      List<Claim> claims,
      long clockMillis,
      DesiredDocument desired) {}

  private final LinkedHashMap<Long, AcceptedFile> accepted = new LinkedHashMap<>();
  private final LinkedHashMap<CallKey, Claim> claims = new LinkedHashMap<>();
  private final Deque<RulesDelta> recent = new ArrayDeque<>();
  private RulesText latest = RulesText.NONE;
  private long clockMillis;
  private DesiredDocument desired = DesiredDocument.NONE;

  private SystemState() {}

  /** Returns the state of a new cluster. */
  public static SystemState empty() {
    return new SystemState();
  }

  /**
   * Returns the state that an image holds.
   *
   * @param image contents of a snapshot
   */
  public static SystemState of(Image image) {
    SystemState state = new SystemState();
    state.latest = image.latest();
    image.accepted().forEach(file -> state.accepted.put(file.number(), file));
    image.claims().forEach(claim -> state.claims.put(claim.key(), claim));
    state.clockMillis = image.clockMillis();
    state.desired = image.desired();
    return state;
  }

  /** Returns everything a snapshot must hold. */
  public Image image() {
    return new Image(
        latest, List.copyOf(accepted.values()), List.copyOf(claims.values()), clockMillis, desired);
  }

  /** Returns the latest accepted file. */
  public RulesText latest() {
    return latest;
  }

  /** Returns the newest version of the desired state. */
  public DesiredDocument desired() {
    return desired;
  }

  /** Returns how many claims are kept. */
  public int claimCount() {
    return claims.size();
  }

  /**
   * Returns the changes that lead from a file to the latest one, or empty if they are not kept.
   *
   * @param number number of the file that the reader holds
   */
  public Optional<List<RulesDelta>> deltasSince(long number) {
    List<RulesDelta> chain = new ArrayList<>();
    long at = number;
    for (RulesDelta delta : recent) {
      if (delta.base() == at) {
        chain.add(delta);
        at = delta.number();
      }
    }
    return at == latest.number() ? Optional.of(chain) : Optional.empty();
  }

  /**
   * Applies a committed command.
   *
   * @param command the command
   */
  public CommandResult apply(Command command) {
    if (command instanceof Command.SubmitRules submit) {
      return submit(submit);
    }
    if (command instanceof Command.ClaimCall claim) {
      return claim(claim);
    }
    if (command instanceof Command.PutDesired put) {
      return put(put.document());
    }
    return finish((Command.FinishCall) command);
  }

  private CommandResult put(DesiredDocument document) {
    if (document.version() > desired.version()) {
      desired = document;
    }
    return new CommandResult.DesiredHeld(desired.version());
  }

  private CommandResult submit(Command.SubmitRules submit) {
    RulesDelta delta = submit.delta();
    AcceptedFile known = accepted.get(delta.number());
    if (known != null) {
      return known.digest().equals(delta.digest())
          ? new CommandResult.RulesAccepted(delta.number(), delta.digest())
          : new CommandResult.RulesConflict(known.number(), known.digest(), known.operator());
    }
    if (delta.number() <= latest.number()) {
      return new CommandResult.RulesStale(delta.number(), latest.number());
    }
    Optional<RulesText> next = delta.applyTo(latest);
    if (next.isEmpty()) {
      return new CommandResult.RulesBaseMoved(latest.number());
    }
    latest = next.get();
    accepted.put(
        delta.number(), new AcceptedFile(delta.number(), delta.digest(), submit.operator()));
    dropFirst(accepted, ACCEPTED_NUMBERS_KEPT);
    recent.addLast(delta);
    if (recent.size() > RECENT_DELTAS_KEPT) {
      recent.removeFirst();
    }
    return new CommandResult.RulesAccepted(delta.number(), delta.digest());
  }

  private CommandResult claim(Command.ClaimCall ask) {
    clockMillis = Math.max(clockMillis, ask.timeMillis());
    forgetOldClaims();
    Claim held = claims.get(ask.key());
    if (held == null) {
      claims.put(
          ask.key(),
          new Claim(ask.key(), ask.bodyDigest(), ask.requestId(), ask.runner(), clockMillis, null));
      return new CommandResult.ClaimGranted();
    }
    if (!held.bodyDigest().equals(ask.bodyDigest())) {
      return new CommandResult.ClaimMismatch();
    }
    if (held.ending() != null) {
      return new CommandResult.ClaimEnded(held.ending());
    }
    if (held.requestId().equals(ask.requestId()) && held.runner().equals(ask.runner())) {
      return new CommandResult.ClaimGranted();
    }
    return new CommandResult.ClaimHeld(held.requestId(), held.runner());
  }

  private CommandResult finish(Command.FinishCall end) {
    Claim held = claims.get(end.key());
    if (held == null || !held.requestId().equals(end.requestId())) {
      return new CommandResult.FinishRefused();
    }
    if (held.ending() != null) {
      return new CommandResult.FinishRecorded();
    }
    if (end.ending() instanceof CallEnding.NotRun) {
      claims.remove(end.key());
      return new CommandResult.FinishRecorded();
    }
    claims.put(
        end.key(),
        new Claim(
            held.key(),
            held.bodyDigest(),
            held.requestId(),
            held.runner(),
            held.claimedAtMillis(),
            end.ending()));
    return new CommandResult.FinishRecorded();
  }

  private void forgetOldClaims() {
    Iterator<Claim> oldestFirst = claims.values().iterator();
    while (oldestFirst.hasNext()) {
      Claim claim = oldestFirst.next();
      if (clockMillis - claim.claimedAtMillis() <= CLAIM_RETENTION_MILLIS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  private static <K, V> void dropFirst(Map<K, V> map, int most) {
    if (map.size() > most) {
      map.remove(map.keySet().iterator().next());
    }
  }
}
