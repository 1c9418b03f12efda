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
 * The replicated state machine; the same commands in the same order give the same state on each
 * replica.
 *
 * <pre>{@code
 * SystemState state = SystemState.empty();
 * CommandResult result = state.apply(new Command.ClaimCall(...));
 * }</pre>
 */
public final class SystemState {
  /** How long a claim and its outcome are kept after the claim, in milliseconds (24 h). */
  public static final long CLAIM_RETENTION_MILLIS = 24L * 60 * 60 * 1_000;

  /** How many accepted files are remembered, so that a resent file gets its first result. */
  public static final int MAX_ACCEPTED_RULES = 100_000;

  private static final int MAX_RECENT_DELTAS = 64;

  /**
   * An accepted rule file, without its text.
   *
   * @param number number of the file
   * @param sha256 SHA-256 of its text
   * @param operator name of the operator who submitted it
   */
  public record AcceptedRules(long number, String sha256, String operator) {}

  /**
   * A claim on a call that may run only once.
   *
   * @param key workspace and idempotency key of the call
   * @param bodyDigest digest of method, path and body
   * @param requestId id of the request that holds the claim
   * @param runner name of the VM that runs the call
   * @param claimedAtMillis wall-clock time of the claim, in milliseconds since 1970
   * @param outcome outcome of the call, or null while it runs
   */
  public record Claim(
      CallKey key,
      String bodyDigest,
      String requestId,
      String runner,
      long claimedAtMillis,
      @Nullable CallOutcome outcome) {}

  /**
   * Contents of a snapshot.
   *
   * @param latestRules latest accepted rule file
   * @param acceptedRules accepted rule files, oldest first
   * @param claims claims, oldest first
   * @param clockMillis highest wall-clock time of any claim command, in milliseconds since 1970
   * @param desiredDocument newest version of the desired state, or empty if none was accepted
   */
  public record Contents(
      RulesText latestRules,
      List<AcceptedRules> acceptedRules,
      List<Claim> claims,
      long clockMillis,
      Optional<DesiredDocument> desiredDocument) {}

  private final LinkedHashMap<Long, AcceptedRules> acceptedRules = new LinkedHashMap<>();
  private final LinkedHashMap<CallKey, Claim> claims = new LinkedHashMap<>();
  private final Deque<RulesDelta> recentDeltas = new ArrayDeque<>();
  private RulesText latestRules = RulesText.NONE;
  private long clockMillis;
  private @Nullable DesiredDocument desiredDocument;

  private SystemState() {}

  /** Returns the state of a new cluster: no rules, claims or desired state. */
  public static SystemState empty() {
    return new SystemState();
  }

  /**
   * Restores the state from a snapshot.
   *
   * @param contents contents of a snapshot
   */
  public static SystemState of(Contents contents) {
    SystemState state = new SystemState();
    state.latestRules = contents.latestRules();
    contents.acceptedRules().forEach(file -> state.acceptedRules.put(file.number(), file));
    contents.claims().forEach(claim -> state.claims.put(claim.key(), claim));
    state.clockMillis = contents.clockMillis();
    state.desiredDocument = contents.desiredDocument().orElse(null);
    return state;
  }

  /** Returns the contents of a snapshot of this state. */
  public Contents contents() {
    return new Contents(
        latestRules,
        List.copyOf(acceptedRules.values()),
        List.copyOf(claims.values()),
        clockMillis,
        desiredDocument());
  }

  /** Returns the latest accepted rule file, or {@link RulesText#NONE}. */
  public RulesText latestRules() {
    return latestRules;
  }

  /** Returns the newest version of the desired state, or empty if none was accepted. */
  public Optional<DesiredDocument> desiredDocument() {
    return Optional.ofNullable(desiredDocument);
  }

  /** Returns the number of claims, including those of ended calls. */
  public int claimCount() {
    return claims.size();
  }

  /**
   * Returns the deltas from a rule file to the latest one, or empty if they are not kept.
   *
   * <p>The last 64 deltas are kept, but not in a snapshot.
   *
   * @param number number of the file that the reader has
   */
  public Optional<List<RulesDelta>> deltasSince(long number) {
    List<RulesDelta> chain = new ArrayList<>();
    long current = number;
    for (RulesDelta delta : recentDeltas) {
      if (delta.base() == current) {
        chain.add(delta);
        current = delta.number();
      }
    }
    return current == latestRules.number() ? Optional.of(chain) : Optional.empty();
  }

  /**
   * Applies a committed command.
   *
   * @param command the command; commands must be applied in log order
   */
  public CommandResult apply(Command command) {
    if (command instanceof Command.SubmitRules submit) {
      return submitRules(submit);
    }
    if (command instanceof Command.ClaimCall claim) {
      return claimCall(claim);
    }
    if (command instanceof Command.PutDesired put) {
      return putDesired(put.document());
    }
    return finishCall((Command.FinishCall) command);
  }

  private CommandResult putDesired(DesiredDocument document) {
    DesiredDocument held = desiredDocument;
    DesiredDocument newest = held == null || document.replaces(Optional.of(held)) ? document : held;
    desiredDocument = newest;
    return new CommandResult.DesiredHeld(newest.version());
  }

  private CommandResult submitRules(Command.SubmitRules submit) {
    RulesDelta delta = submit.delta();
    AcceptedRules known = acceptedRules.get(delta.number());
    if (known != null) {
      return known.sha256().equals(delta.digest())
          ? new CommandResult.RulesAccepted(delta.number(), delta.digest())
          : new CommandResult.RulesConflict(known.number(), known.sha256(), known.operator());
    }
    if (delta.number() <= latestRules.number()) {
      return new CommandResult.RulesStale(delta.number(), latestRules.number());
    }
    Optional<RulesText> next = delta.applyTo(latestRules);
    if (next.isEmpty()) {
      return new CommandResult.RulesBaseOutdated(latestRules.number());
    }
    latestRules = next.get();
    acceptedRules.put(
        delta.number(), new AcceptedRules(delta.number(), delta.digest(), submit.operator()));
    removeOldestAbove(acceptedRules, MAX_ACCEPTED_RULES);
    recentDeltas.addLast(delta);
    if (recentDeltas.size() > MAX_RECENT_DELTAS) {
      recentDeltas.removeFirst();
    }
    return new CommandResult.RulesAccepted(delta.number(), delta.digest());
  }

  private CommandResult claimCall(Command.ClaimCall request) {
    clockMillis = Math.max(clockMillis, request.timeMillis());
    removeExpiredClaims();
    Claim existing = claims.get(request.key());
    if (existing == null) {
      claims.put(
          request.key(),
          new Claim(
              request.key(),
              request.bodyDigest(),
              request.requestId(),
              request.runner(),
              clockMillis,
              null));
      return new CommandResult.ClaimGranted();
    }
    if (!existing.bodyDigest().equals(request.bodyDigest())) {
      return new CommandResult.ClaimMismatch();
    }
    if (existing.outcome() != null) {
      return new CommandResult.ClaimEnded(existing.outcome());
    }
    if (existing.requestId().equals(request.requestId())
        && existing.runner().equals(request.runner())) {
      return new CommandResult.ClaimGranted();
    }
    return new CommandResult.ClaimHeld(existing.requestId(), existing.runner());
  }

  private CommandResult finishCall(Command.FinishCall request) {
    Claim existing = claims.get(request.key());
    if (existing == null || !existing.requestId().equals(request.requestId())) {
      return new CommandResult.FinishRefused();
    }
    if (existing.outcome() != null) {
      return new CommandResult.FinishRecorded();
    }
    if (request.outcome() instanceof CallOutcome.NotRun) {
      claims.remove(request.key());
      return new CommandResult.FinishRecorded();
    }
    claims.put(
        request.key(),
        new Claim(
            existing.key(),
            existing.bodyDigest(),
            existing.requestId(),
            existing.runner(),
            existing.claimedAtMillis(),
            request.outcome()));
    return new CommandResult.FinishRecorded();
  }

  private void removeExpiredClaims() {
    Iterator<Claim> oldestFirst = claims.values().iterator();
    while (oldestFirst.hasNext()) {
      Claim claim = oldestFirst.next();
      if (clockMillis - claim.claimedAtMillis() <= CLAIM_RETENTION_MILLIS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  private static <K, V> void removeOldestAbove(Map<K, V> map, int maxEntries) {
    if (map.size() > maxEntries) {
      map.remove(map.keySet().iterator().next());
    }
  }
}
