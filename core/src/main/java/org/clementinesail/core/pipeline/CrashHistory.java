package org.clementinesail.core.pipeline;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Remembers which requests were running where a target crashed, and which of them are to blame.
 *
 * <p>A request is blamed when two targets crashed while they ran it at the same position, and ran
 * it in isolation from others in doubt at least once. A request that was only beside another one
 * gets past that position on its next target and is cleared. Requests are known by a digest of
 * workspace, model and prompt, so that a resend under a new id is recognised; equal requests that
 * run side by side share a digest, which is why a crash without isolation never counts as the
 * second one. The class is not thread-safe.
 */
public final class CrashHistory {
  /** How many targets a request may crash before it is stopped. */
  public static final int MAX_CRASHES = 2;

  /** How long a crash is remembered, in nanoseconds. */
  public static final long RETENTION_NANOS = 3_600_000_000_000L;

  /**
   * A crash that a request was present at.
   *
   * @param digest digest of the request
   * @param position position that the request was at
   * @param target name and incarnation of the target
   * @param isolated whether no other request in doubt ran there
   */
  public record CrashRecord(String digest, int position, String target, boolean isolated) {}

  private record RequestPosition(String digest, int position) {}

  private static final class Suspicion {
    final Set<String> targets = new HashSet<>();
    boolean isolated;
    long expiresAt;

    boolean confirmed() {
      return isolated && targets.size() >= MAX_CRASHES;
    }
  }

  private final Map<RequestPosition, Suspicion> suspicions = new HashMap<>();

  /**
   * Notes that a target crashed while it ran a request.
   *
   * @param mark the crash
   * @param now present time
   */
  public void recordCrash(CrashRecord mark, long now) {
    Suspicion entry =
        suspicions.computeIfAbsent(
            new RequestPosition(mark.digest(), mark.position()), key -> new Suspicion());
    entry.expiresAt = now + RETENTION_NANOS;
    entry.isolated |= mark.isolated();
    entry.targets.add(mark.target());
  }

  /**
   * Notes that a request got past a position, so that a crash there was not its fault.
   *
   * @param digest digest of the request
   * @param position the position
   */
  public void recordPassed(String digest, int position) {
    RequestPosition place = new RequestPosition(digest, position);
    Suspicion entry = suspicions.get(place);
    if (entry != null && !entry.confirmed()) {
      suspicions.remove(place);
    }
  }

  /**
   * Returns whether a request has crashed as many targets as it may.
   *
   * @param digest digest of the request
   */
  public boolean blamed(String digest) {
    return suspicionsOf(digest).anyMatch(Suspicion::confirmed);
  }

  /**
   * Returns whether a request was present at a crash and is not cleared yet.
   *
   * @param digest digest of the request
   */
  public boolean suspected(String digest) {
    return suspicionsOf(digest).findAny().isPresent();
  }

  /**
   * Forgets crashes that are past their retention.
   *
   * @param now present time
   */
  public void expire(long now) {
    Iterator<Suspicion> it = suspicions.values().iterator();
    while (it.hasNext()) {
      if (now - it.next().expiresAt > 0) {
        it.remove();
      }
    }
  }

  private Stream<Suspicion> suspicionsOf(String digest) {
    return suspicions.entrySet().stream()
        .filter(entry -> entry.getKey().digest().equals(digest))
        .map(Map.Entry::getValue);
  }
}
