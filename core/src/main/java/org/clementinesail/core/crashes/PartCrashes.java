package org.clementinesail.core.crashes;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;

/**
 * Decides which requests to refuse because a part of them crashes targets.
 *
 * <p>Handles a load in which requests that are no two alike share one part, come at any VM and
 * crash each target that begins to answer them, among sound requests that share their other parts.
 * VMs exchange their records, so that all refuse the part within a moment of the third crash. Only
 * parts that were in a request at a crash are recorded. A refused part is tried again later, by one
 * VM after the other, so that the others hear of a further crash before they try. The class is not
 * thread-safe.
 *
 * <pre>{@code
 * parts.recordCrash(key, new CrashRecord.Crash("e1@0", sentAt, now));
 * if (parts.refusedUntil(keys, now).isPresent()) { ... }
 * }</pre>
 */
public final class PartCrashes {
  /** Records kept. The ones with the fewest separate crashes are dropped first, then the oldest. */
  private static final int MAX_RECORDS = 1_024;

  /** Parts whose last answer is remembered, the latest: those of some minutes on one VM. */
  private static final int MAX_ANSWERED = 8_192;

  /** How long a record is kept after its last change or the end of a refusal. */
  private static final long RETENTION_NANOS = 600_000_000_000L;

  /** Crashes of a part after which VMs tell when they saw it answered; one crash says little. */
  private static final int MIN_RECALL_CRASHES = 2;

  /** Time between two requests that try a part again; longer than the wait for a first answer. */
  private static final long TRIAL_INTERVAL_NANOS = 2_000_000_000L;

  /** Time between the first trials of two VMs; longer than a crash takes to be known to all. */
  private static final long TRIAL_SPACING_NANOS = 10_000_000_000L;

  private final IntSupplier vms;
  private final long seed;
  private final Map<Long, CrashRecord> records = new HashMap<>();
  private final Map<Long, Long> trials = new HashMap<>();
  private final Cache<Long, Long> answered =
      CacheBuilder.newBuilder().maximumSize(MAX_ANSWERED).concurrencyLevel(1).build();

  /** Creates an empty set of records on a VM that sends no requests, or is the only one. */
  public PartCrashes() {
    this(() -> 1, 0);
  }

  /**
   * Creates an empty set of records.
   *
   * @param vms supplies how many VMs may try refused parts again
   * @param seed differs between these VMs, so that they do so at different times
   */
  public PartCrashes(IntSupplier vms, long seed) {
    this.vms = vms;
    this.seed = seed;
  }

  /** Returns whether nothing is recorded, so that all requests are admitted. */
  public boolean isEmpty() {
    return records.isEmpty();
  }

  /** Returns a copy of all records. */
  public List<CrashRecord> records() {
    return List.copyOf(records.values());
  }

  /**
   * Records that a target crashed before it answered a request.
   *
   * @param key a part of the request
   * @param crash the crash
   * @return the record of the part
   */
  public CrashRecord recordCrash(long key, CrashRecord.Crash crash) {
    CrashRecord next = withLastAnswer(record(key).withCrash(crash));
    store(next, crash.crashedAt());
    return next;
  }

  /** Adds when this VM saw the part answered last, which was before its crashes. */
  private CrashRecord withLastAnswer(CrashRecord record) {
    Long at = answered.getIfPresent(record.key());
    return at == null ? record : record.withAnswer(at);
  }

  /**
   * Records that a target began to answer a request.
   *
   * @param keys parts of the request
   * @param now current time in nanoseconds of the monotonic clock
   * @return the records of the parts that this clears; parts without crashes are not recorded
   */
  public List<CrashRecord> recordAnswer(Collection<Long> keys, long now) {
    keys.forEach(key -> answered.put(key, now));
    List<CrashRecord> cleared =
        keys.stream()
            .map(this::record)
            .filter(record -> !record.crashes().isEmpty())
            .map(record -> record.withAnswer(now))
            .toList();
    cleared.forEach(record -> store(record, now));
    return cleared;
  }

  /**
   * Adds what another VM knows of a part.
   *
   * @param other record of that VM, with times of this VM's clock
   * @param now current time in nanoseconds of the monotonic clock
   * @return whether crashes were added or cleared, or a first answer became known
   */
  public boolean merge(CrashRecord other, long now) {
    CrashRecord known = record(other.key());
    CrashRecord merged = known.merge(other);
    if (merged.crashes().isEmpty() && known.crashes().isEmpty()) {
      return false;
    }
    store(merged, now);
    return !targets(known).equals(targets(merged))
        || known.answeredAt().isPresent() != merged.answeredAt().isPresent();
  }

  /**
   * Adds to a record when this VM saw the part answered, if that clears crashes that other VMs saw,
   * or if the part is suspect and no answer is known.
   *
   * @param key a part
   * @param now current time in nanoseconds of the monotonic clock
   * @return the record if it changed, for the other VMs
   */
  public Optional<CrashRecord> recallAnswer(long key, long now) {
    CrashRecord known = record(key);
    CrashRecord recalled = withLastAnswer(known);
    boolean clears = recalled.crashes().size() < known.crashes().size();
    boolean first = known.answeredAt().isEmpty() && recalled.answeredAt().isPresent();
    if (!clears && (!first || known.separateCrashes().size() < MIN_RECALL_CRASHES)) {
      return Optional.empty();
    }
    store(recalled, now);
    return Optional.of(recalled);
  }

  /**
   * Returns until when a request is refused, or empty if it may be sent.
   *
   * @param keys parts of the request
   * @param now current time in nanoseconds of the monotonic clock
   */
  public OptionalLong refusedUntil(Collection<Long> keys, long now) {
    OptionalLong latest = OptionalLong.empty();
    for (long key : keys) {
      OptionalLong until = refusedUntil(key);
      Long trial = trials.get(key);
      if (until.isPresent() && trial != null && trial - until.getAsLong() >= 0) {
        until = OptionalLong.of(trial + TRIAL_INTERVAL_NANOS);
      }
      boolean refused = until.isPresent() && until.getAsLong() - now > 0;
      if (refused && (latest.isEmpty() || until.getAsLong() - latest.getAsLong() > 0)) {
        latest = until;
      }
    }
    return latest;
  }

  /**
   * Records that a request is sent, so that only one at a time tries a part that was refused.
   *
   * @param keys parts of the request
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordSent(Collection<Long> keys, long now) {
    for (long key : keys) {
      if (refusedUntil(key).isPresent()) {
        trials.put(key, now);
      }
    }
  }

  private OptionalLong refusedUntil(long key) {
    List<CrashRecord.Crash> separate = record(key).separateCrashes();
    if (CrashRecord.refusedUntil(separate).isEmpty()) {
      return OptionalLong.empty();
    }
    OptionalLong until =
        CrashRecord.refusedUntil(
            separate.stream()
                .filter(c -> !hasStrongerSuspect(c, record(key), separate.size()))
                .toList());
    return until.isEmpty()
        ? until
        : OptionalLong.of(
            until.getAsLong() + (long) (vmsAhead(key, separate.size()) * TRIAL_SPACING_NANOS));
  }

  /** Returns how many VMs on average may try a part before this one; drawn anew at each crash. */
  private double vmsAhead(long key, int crashes) {
    double position = new SplittableRandom(seed ^ key * (crashes + 1)).nextDouble();
    return position * (vms.getAsInt() - 1);
  }

  /**
   * Returns whether another part of requests at a crash has more separate crashes, or as many and
   * was answered longer ago: the part in question was only beside it. A part that was at all
   * crashes of the other and at further ones is never only beside it: which of them are separate
   * depends on the requests under way, and differs between the parts.
   */
  private boolean hasStrongerSuspect(CrashRecord.Crash crash, CrashRecord record, int crashes) {
    return records.values().stream()
        .filter(other -> other.key() != record.key() && other.hasCrashOf(crash.target()))
        .filter(other -> !record.hasMoreThanCrashesOf(other))
        .anyMatch(
            other -> {
              int count = other.separateCrashes().size();
              return count > crashes
                  || (count == crashes && other.answeredBefore(record))
                  || (other.isRefused() && other.hasMoreThanCrashesOf(record));
            });
  }

  private CrashRecord record(long key) {
    CrashRecord known = records.get(key);
    return known == null ? CrashRecord.empty(key) : known;
  }

  private void store(CrashRecord next, long now) {
    records.put(next.key(), next);
    records.values().removeIf(record -> now - record.lastUseAt().orElse(now) > RETENTION_NANOS);
    if (records.size() > MAX_RECORDS) {
      records.values().stream()
          .min(
              Comparator.comparingInt((CrashRecord record) -> record.separateCrashes().size())
                  .thenComparingLong(record -> -age(record, now)))
          .ifPresent(dropped -> records.remove(dropped.key()));
    }
    trials.keySet().retainAll(records.keySet());
  }

  private static long age(CrashRecord record, long now) {
    return now - record.latestAt().orElse(now);
  }

  private static List<String> targets(CrashRecord record) {
    return record.crashes().stream().map(CrashRecord.Crash::target).sorted().toList();
  }
}
