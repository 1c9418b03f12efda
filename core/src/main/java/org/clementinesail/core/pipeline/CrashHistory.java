package org.clementinesail.core.pipeline;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Records which requests were running on a target when it crashed, to find requests that crash
 * targets.
 *
 * <p>Every request that ran on a crashed target is suspected. It is blamed if two targets crashed
 * while running it at the same position, at least once isolated from other suspected requests. A
 * request that only ran beside the cause gets past the position on its next target and is cleared.
 *
 * <p>Requests are identified by a digest of workspace, model and prompt, so that a resend with a
 * new id is recognised. Equal requests running at the same time share a digest and could crash two
 * targets together, which is why crashes without any isolation are not enough. The class is not
 * thread-safe.
 */
public final class CrashHistory {
  /** Number of crashed targets at which a request is blamed and stopped. */
  public static final int MIN_CRASHED_TARGETS = 2;

  /** Time after which a crash is removed from the history, in nanoseconds (one hour). */
  public static final long RETENTION_NANOS = 3_600_000_000_000L;

  /**
   * A crash of a target while it ran a request.
   *
   * @param digest digest of the request
   * @param position token position that the request had reached
   * @param target name and incarnation of the target, such as {@code e1#1}
   * @param isolated whether the target ran no other suspected request
   */
  public record CrashRecord(String digest, int position, String target, boolean isolated) {}

  private record RequestPosition(String digest, int position) {}

  private static final class Suspicion {
    final Set<String> targets = new HashSet<>();
    boolean isolated;
    long expiresAt;

    boolean confirmed() {
      return isolated && targets.size() >= MIN_CRASHED_TARGETS;
    }
  }

  private final Map<RequestPosition, Suspicion> suspicions = new HashMap<>();

  /**
   * Records that a target crashed while it ran a request.
   *
   * @param crash crash to add
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void recordCrash(CrashRecord crash, long now) {
    Suspicion suspicion =
        suspicions.computeIfAbsent(
            new RequestPosition(crash.digest(), crash.position()), key -> new Suspicion());
    suspicion.expiresAt = now + RETENTION_NANOS;
    suspicion.isolated |= crash.isolated();
    suspicion.targets.add(crash.target());
  }

  /**
   * Records that a request got past a position, which clears it of crashes there unless it is
   * already blamed for them.
   *
   * @param digest digest of the request
   * @param position token position that the request has passed
   */
  public void recordPassed(String digest, int position) {
    RequestPosition requestPosition = new RequestPosition(digest, position);
    Suspicion suspicion = suspicions.get(requestPosition);
    if (suspicion != null && !suspicion.confirmed()) {
      suspicions.remove(requestPosition);
    }
  }

  /**
   * Returns whether a request is blamed for crashes of {@link #MIN_CRASHED_TARGETS} targets.
   *
   * @param digest digest of the request
   */
  public boolean blamed(String digest) {
    return suspicionsOf(digest).anyMatch(Suspicion::confirmed);
  }

  /**
   * Returns whether a request was running at a crash and is not cleared yet.
   *
   * @param digest digest of the request
   */
  public boolean suspected(String digest) {
    return suspicionsOf(digest).findAny().isPresent();
  }

  /**
   * Removes crashes that are older than {@link #RETENTION_NANOS}.
   *
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void expire(long now) {
    Iterator<Suspicion> iterator = suspicions.values().iterator();
    while (iterator.hasNext()) {
      if (now - iterator.next().expiresAt > 0) {
        iterator.remove();
      }
    }
  }

  private Stream<Suspicion> suspicionsOf(String digest) {
    return suspicions.entrySet().stream()
        .filter(entry -> entry.getKey().digest().equals(digest))
        .map(Map.Entry::getValue);
  }
}
