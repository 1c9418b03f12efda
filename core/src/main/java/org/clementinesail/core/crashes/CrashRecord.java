package org.clementinesail.core.crashes;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * What is known of one part of requests: the targets that crashed before they answered a request
 * with it, and when one was answered last.
 *
 * <p>A request that a target has begun to answer clears its parts, as a part that crashes targets
 * crashes each of them. Crashes count separately only if they are 100 ms apart, or the later
 * request was sent after the earlier crash: targets that fail together, as in a power loss, count
 * once. All times are nanoseconds of one VM's monotonic clock.
 *
 * @param key identifies the part
 * @param crashes crashes since the part was last answered, in order of time
 * @param answeredAt when a target began to answer a request with the part, or empty if never
 */
public record CrashRecord(long key, List<Crash> crashes, OptionalLong answeredAt) {
  /** Crashes kept for each part; more would not extend the time that it is refused. */
  private static final int MAX_CRASHES = 32;

  /** Separate crashes after which a part is refused. Two may hit an innocent part by chance. */
  private static final int MIN_CRASHES = 3;

  /** Targets that fail for a common reason are seen to fail within this time by all VMs. */
  private static final long MIN_SEPARATION_NANOS = 100_000_000L;

  /** How long a part is refused at first; each further crash doubles it. */
  private static final long REFUSAL_NANOS = 30_000_000_000L;

  /** Limit that avoids an overflow. */
  private static final int MAX_DOUBLINGS = 16;

  /** Longest time for which a part is refused before it is tried again. */
  private static final long MAX_REFUSAL_NANOS = 300_000_000_000L;

  /** Crashes of trials after which a part is refused for longer, as no more are risked. */
  private static final int MAX_FAILED_TRIALS = 2;

  /** How long a part is refused after the last trial. */
  private static final long FINAL_REFUSAL_NANOS = 86_400_000_000_000L;

  /**
   * A crash of a target before it answered a request.
   *
   * @param target identity and start of the target
   * @param sentAt when the request was sent to it
   * @param crashedAt when it crashed
   */
  public record Crash(String target, long sentAt, long crashedAt) {
    private boolean isSeparateFrom(Crash earlier) {
      return sentAt - earlier.crashedAt >= 0
          || crashedAt - earlier.crashedAt >= MIN_SEPARATION_NANOS;
    }

    private Crash earliest(Crash other) {
      return new Crash(target, earlier(sentAt, other.sentAt), earlier(crashedAt, other.crashedAt));
    }
  }

  /** Copies the list. */
  public CrashRecord {
    crashes = List.copyOf(crashes);
  }

  /** Returns the record of a part of which nothing is known. */
  static CrashRecord empty(long key) {
    return new CrashRecord(key, List.of(), OptionalLong.empty());
  }

  CrashRecord withCrash(Crash crash) {
    return merge(new CrashRecord(key, List.of(crash), OptionalLong.empty()));
  }

  CrashRecord withAnswer(long at) {
    return merge(new CrashRecord(key, List.of(), OptionalLong.of(at)));
  }

  /** Returns what two records of the same part say together. */
  CrashRecord merge(CrashRecord other) {
    OptionalLong answered = later(answeredAt, other.answeredAt);
    List<Crash> merged = new ArrayList<>(crashes);
    for (Crash crash : other.crashes) {
      int known = indexOf(merged, crash.target());
      if (known < 0) {
        merged.add(crash);
      } else {
        merged.set(known, merged.get(known).earliest(crash));
      }
    }
    merged.removeIf(c -> answered.isPresent() && answered.getAsLong() - c.crashedAt() >= 0);
    merged.sort((a, b) -> Long.signum(a.crashedAt() - b.crashedAt()));
    while (merged.size() > MAX_CRASHES) {
      merged.remove(leastTelling(merged));
    }
    return new CrashRecord(key, merged, answered);
  }

  /** Returns the oldest crash that does not count separately, or else the oldest. */
  private static Crash leastTelling(List<Crash> crashes) {
    List<Crash> separate = separate(crashes);
    return crashes.stream()
        .filter(crash -> !separate.contains(crash))
        .findFirst()
        .orElse(crashes.get(0));
  }

  /** Returns the crashes that count separately, in order of time. */
  List<Crash> separateCrashes() {
    return separate(crashes);
  }

  private static List<Crash> separate(List<Crash> crashes) {
    List<Crash> separate = new ArrayList<>();
    for (Crash crash : crashes) {
      if (separate.isEmpty() || crash.isSeparateFrom(separate.get(separate.size() - 1))) {
        separate.add(crash);
      }
    }
    return separate;
  }

  /** Returns until when a part with these separate crashes is refused, or empty if it is not. */
  static OptionalLong refusedUntil(List<Crash> separate) {
    if (separate.size() < MIN_CRASHES) {
      return OptionalLong.empty();
    }
    int doublings = Math.min(separate.size() - MIN_CRASHES, MAX_DOUBLINGS);
    long nanos =
        failedTrials(separate) < MAX_FAILED_TRIALS
            ? Math.min(REFUSAL_NANOS << doublings, MAX_REFUSAL_NANOS)
            : FINAL_REFUSAL_NANOS;
    return OptionalLong.of(separate.get(separate.size() - 1).crashedAt() + nanos);
  }

  /** Returns how many crashes followed the end of a refusal; those beside them do not count. */
  private static int failedTrials(List<Crash> separate) {
    int failed = 0;
    for (int i = MIN_CRASHES; i < separate.size(); i++) {
      failed += separate.get(i).sentAt() - separate.get(i - 1).crashedAt() >= REFUSAL_NANOS ? 1 : 0;
    }
    return failed;
  }

  /** Returns when the record last changed, or later, the end of a refusal; empty if unknown. */
  OptionalLong lastUseAt() {
    return later(latestAt(), refusedUntil(separateCrashes()));
  }

  /** Returns when the record last changed; empty if nothing is known. */
  OptionalLong latestAt() {
    OptionalLong lastCrash =
        crashes.isEmpty()
            ? OptionalLong.empty()
            : OptionalLong.of(crashes.get(crashes.size() - 1).crashedAt());
    return later(answeredAt, lastCrash);
  }

  boolean hasCrashOf(String target) {
    return indexOf(crashes, target) >= 0;
  }

  /** Returns whether the part has enough crashes to be refused for a time. */
  boolean isRefused() {
    return refusedUntil(separateCrashes()).isPresent();
  }

  /** Returns whether the part was at all crashes of another one and at further ones. */
  boolean hasMoreThanCrashesOf(CrashRecord other) {
    return crashes.size() > other.crashes.size()
        && other.crashes.stream().allMatch(crash -> hasCrashOf(crash.target()));
  }

  /** Returns whether the part was answered longer ago than another, or never. */
  boolean answeredBefore(CrashRecord other) {
    return other.answeredAt.isPresent()
        && (answeredAt.isEmpty() || answeredAt.getAsLong() - other.answeredAt.getAsLong() < 0);
  }

  private static int indexOf(List<Crash> crashes, String target) {
    for (int i = 0; i < crashes.size(); i++) {
      if (crashes.get(i).target().equals(target)) {
        return i;
      }
    }
    return -1;
  }

  private static long earlier(long a, long b) {
    return a - b < 0 ? a : b;
  }

  private static OptionalLong later(OptionalLong a, OptionalLong b) {
    if (a.isEmpty() || b.isEmpty()) {
      return a.isPresent() ? a : b;
    }
    return a.getAsLong() - b.getAsLong() > 0 ? a : b;
  }
}
